package drain_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/drain"
)

func TestPhasesFollowTheSchedule(t *testing.T) {
	schedule := drain.NewSchedule(began, after(6.5))
	require.Equal(t, drain.PhaseTaking, schedule.Phase(after(2.9)))
	require.Equal(t, drain.PhaseRefusing, schedule.Phase(after(3)))
	require.Equal(t, drain.PhaseEnding, schedule.Phase(after(6)))
	require.Equal(t, drain.PhaseTaking, drain.NewSchedule(began, time.Time{}).Phase(after(90)))
}
