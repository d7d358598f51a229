package peerwire

import (
	"math"
	"time"

	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/coordination/quarantine"
	"github.com/wasabiport/wasabiport/protocol/wirepb"
	"github.com/wasabiport/wasabiport/state"
)

func encodeCrashNotices(message control.CrashNotices) *wirepb.CrashNotices {
	encoded := &wirepb.CrashNotices{}
	for _, notice := range message.Notices {
		encoded.Notices = append(encoded.Notices, &wirepb.CrashNotice{
			Fingerprint:    uint64(notice.Fingerprint),
			Phase:          uint32(notice.Phase),
			RemainingNanos: int64(notice.Remaining),
		})
	}
	return encoded
}

func decodeCrashNotices(message *wirepb.CrashNotices) (control.Message, error) {
	var decoded control.CrashNotices
	for _, notice := range message.GetNotices() {
		if notice.GetPhase() > math.MaxUint8 {
			return nil, malformed("crash notice has invalid phase %d", notice.GetPhase())
		}
		decoded.Notices = append(decoded.Notices, quarantine.Notice{
			Fingerprint: state.Fingerprint(notice.GetFingerprint()),
			Phase:       quarantine.Phase(notice.GetPhase()),
			Remaining:   time.Duration(notice.GetRemainingNanos()),
		})
	}
	return decoded, nil
}
