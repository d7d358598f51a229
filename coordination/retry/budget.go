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
	// Share is the number of retries that each first attempt earns. A larger
	// share hides more failures and adds more load to servers that fail.
	// Default 0.1.
	Share float64
	// Capacity bounds the retries that are saved up for one service, and is
	// what the budget starts with. Default 100.
	Capacity float64
	// Nodes returns the number of nodes that share Capacity. A budget that is
	// shared starts empty, so that nodes which restart gain nothing. Nil means
	// that it is not shared. Default nil.
	Nodes func() int
}

// Budget bounds the retries of one node to a share of its calls, for each
// service on its own. It is safe for use by many threads; balances are in
// shards by service.
type Budget struct {
	config   BudgetConfig
	balances *state.ShardedMap[state.ServiceName, float64]
}

// NewBudget returns a budget that is full, unless it is shared.
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

// Deposit adds what one first attempt at a service earns.
func (b *Budget) Deposit(service state.ServiceName) {
	capacity := b.capacity()
	b.balances.Update(service, func(balance float64, present bool) (float64, bool) {
		return min(capacity, b.start(balance, present)+b.config.Share), true
	})
}

// TryWithdraw takes one retry from the budget of a service. It returns false when
// there is none.
func (b *Budget) TryWithdraw(service state.ServiceName) bool {
	spent := false
	b.balances.Update(service, func(balance float64, present bool) (float64, bool) {
		balance = b.start(balance, present)
		if spent = balance >= 1; spent {
			balance--
		}
		return balance, true
	})
	return spent
}

// Balances returns the retries that may be made now, by service.
func (b *Budget) Balances() map[state.ServiceName]float64 {
	balances := make(map[state.ServiceName]float64)
	b.balances.Range(func(service state.ServiceName, balance float64) bool {
		balances[service] = balance
		return true
	})
	return balances
}

func (b *Budget) start(balance float64, present bool) float64 {
	if present || b.config.Nodes != nil {
		return balance
	}
	return b.config.Capacity
}

func (b *Budget) capacity() float64 {
	if b.config.Nodes == nil {
		return b.config.Capacity
	}
	return max(1, b.config.Capacity/float64(max(1, b.config.Nodes())))
}
