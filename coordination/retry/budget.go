package retry

import (
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// Defaults of BudgetConfig.
const (
	DefaultShare    = 0.1
	DefaultCapacity = 100
	DefaultWindow   = 10 * time.Second
)

// BudgetConfig holds the settings of a Budget.
type BudgetConfig struct {
	// Share is the ratio of retries to first attempts: each first attempt
	// deposits this many retries. A higher share hides more failures but adds
	// more load to backend servers that are failing. Default 0.1.
	Share float64
	// Capacity is the maximum balance of one service, and the initial balance
	// of a budget that is not shared. Default 100.
	Capacity float64
	// Nodes returns the number of nodes that Capacity is divided among. A shared
	// budget starts empty, so that a node does not gain retries by restarting.
	// Nil means that the budget is not shared. Default nil.
	Nodes func() int
	// Window is the time over which retries are limited. Calls of repeats may
	// overdraw a budget; the overdraft ends a window after the last such call.
	// Default 10 seconds.
	Window time.Duration
}

// Budget limits the retries of one node to a share of its calls, separately for
// each service. It works like a token bucket that first attempts fill. It is safe
// for concurrent use; balances are sharded by service.
type Budget struct {
	config   BudgetConfig
	balances *state.ShardedMap[state.ServiceName, balance]
}

// balance is the budget of one service. It is negative while it is overdrawn.
type balance struct {
	retries float64
	// chargedAt is the time of the last charge for a call of a repeat.
	chargedAt time.Time
}

// NewBudget returns a budget. It is full unless it is shared among nodes.
func NewBudget(config BudgetConfig) *Budget {
	if config.Share == 0 {
		config.Share = DefaultShare
	}
	if config.Capacity == 0 {
		config.Capacity = DefaultCapacity
	}
	if config.Window == 0 {
		config.Window = DefaultWindow
	}
	return &Budget{
		config:   config,
		balances: state.NewShardedMap[state.ServiceName, balance](state.DefaultShardCount),
	}
}

// RecordCall credits the budget of a service for the first attempt of a call, unless
// the call belongs to a repeat. repeatShare is the probability that it does. Such a
// call is charged, even if it overdraws the budget, as the run that makes the call
// can't finish without it.
func (b *Budget) RecordCall(now time.Time, service state.ServiceName, repeatShare float64) {
	if repeatShare > 0 {
		b.charge(now, service, repeatShare)
	}
	b.credit(service, b.config.Share*(1-repeatShare))
}

// TryWithdraw withdraws one retry from the budget of a service. It returns false
// if the balance is less than one.
func (b *Budget) TryWithdraw(service state.ServiceName) bool {
	withdrawn := false
	b.update(service, func(balance balance) balance {
		if withdrawn = balance.retries >= 1; withdrawn {
			balance.retries--
		}
		return balance
	})
	return withdrawn
}

// Balance returns the number of retries that are available for a service, which is
// negative while the budget is overdrawn.
func (b *Budget) Balance(now time.Time, service state.ServiceName) float64 {
	current, present := b.balances.Get(service)
	return b.withoutOldOverdraft(now, b.balanceOrInitial(current, present)).retries
}

// Balances returns the number of retries that are currently available, by service.
func (b *Budget) Balances() map[state.ServiceName]float64 {
	balances := make(map[state.ServiceName]float64)
	b.balances.Range(func(service state.ServiceName, balance balance) bool {
		balances[service] = balance.retries
		return true
	})
	return balances
}

func (b *Budget) credit(service state.ServiceName, retries float64) {
	capacity := b.capacity()
	b.update(service, func(balance balance) balance {
		balance.retries = min(capacity, balance.retries+retries)
		return balance
	})
}

// charge subtracts retries, down to an overdraft of one capacity.
func (b *Budget) charge(now time.Time, service state.ServiceName, retries float64) {
	capacity := b.capacity()
	b.update(service, func(balance balance) balance {
		balance = b.withoutOldOverdraft(now, balance)
		balance.retries = max(-capacity, balance.retries-retries)
		balance.chargedAt = now
		return balance
	})
}

// withoutOldOverdraft ends an overdraft a window after the last charge.
func (b *Budget) withoutOldOverdraft(now time.Time, balance balance) balance {
	if now.Sub(balance.chargedAt) >= b.config.Window {
		balance.retries = max(0, balance.retries)
	}
	return balance
}

func (b *Budget) update(service state.ServiceName, change func(balance) balance) {
	b.balances.Update(service, func(current balance, present bool) (balance, bool) {
		return change(b.balanceOrInitial(current, present)), true
	})
}

// balanceOrInitial returns the balance of a service, or the initial balance if the
// service has none yet.
func (b *Budget) balanceOrInitial(current balance, present bool) balance {
	if present || b.config.Nodes != nil {
		return current
	}
	return balance{retries: b.config.Capacity}
}

// capacity returns this node's part of the capacity, which is at least one retry.
func (b *Budget) capacity() float64 {
	if b.config.Nodes == nil {
		return b.config.Capacity
	}
	return max(1, b.config.Capacity/float64(max(1, b.config.Nodes())))
}
