package retry

import (
	"github.com/wasabiport/wasabiport/state"
)

// Defaults of BudgetConfig.
const (
	DefaultShare    = 0.1
	DefaultCapacity = 100
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
}

// Budget limits the retries of one node to a share of its calls, separately for
// each service. It works like a token bucket that first attempts fill. It is safe
// for concurrent use; balances are sharded by service.
type Budget struct {
	config   BudgetConfig
	balances *state.ShardedMap[state.ServiceName, float64]
}

// NewBudget returns a budget. It is full unless it is shared among nodes.
func NewBudget(config BudgetConfig) *Budget {
	if config.Share == 0 {
		config.Share = DefaultShare
	}
	if config.Capacity == 0 {
		config.Capacity = DefaultCapacity
	}
	return &Budget{
		config:   config,
		balances: state.NewShardedMap[state.ServiceName, float64](state.DefaultShardCount),
	}
}

// Deposit credits the budget of a service for one first attempt.
func (b *Budget) Deposit(service state.ServiceName) {
	capacity := b.capacity()
	b.balances.Update(service, func(balance float64, present bool) (float64, bool) {
		return min(capacity, b.balanceOrInitial(balance, present)+b.config.Share), true
	})
}

// TryWithdraw withdraws one retry from the budget of a service. It returns false
// if the balance is less than one.
func (b *Budget) TryWithdraw(service state.ServiceName) bool {
	withdrawn := false
	b.balances.Update(service, func(balance float64, present bool) (float64, bool) {
		balance = b.balanceOrInitial(balance, present)
		if withdrawn = balance >= 1; withdrawn {
			balance--
		}
		return balance, true
	})
	return withdrawn
}

// Balances returns the number of retries that are currently available, by service.
func (b *Budget) Balances() map[state.ServiceName]float64 {
	balances := make(map[state.ServiceName]float64)
	b.balances.Range(func(service state.ServiceName, balance float64) bool {
		balances[service] = balance
		return true
	})
	return balances
}

// balanceOrInitial returns the balance of a service, or the initial balance if the
// service has none yet.
func (b *Budget) balanceOrInitial(balance float64, present bool) float64 {
	if present || b.config.Nodes != nil {
		return balance
	}
	return b.config.Capacity
}

// capacity returns this node's part of the capacity, which is at least one retry.
func (b *Budget) capacity() float64 {
	if b.config.Nodes == nil {
		return b.config.Capacity
	}
	return max(1, b.config.Capacity/float64(max(1, b.config.Nodes())))
}
