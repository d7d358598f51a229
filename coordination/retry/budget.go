package retry

import "sync"

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
	// Capacity bounds the retries that are saved up, and is what the budget
	// starts with. Default 100.
	Capacity float64
}

// Budget bounds the retries of one node to a share of its calls. It is safe
// for use by many threads.
type Budget struct {
	mu      sync.Mutex
	config  BudgetConfig
	balance float64
}

// NewBudget returns a full budget.
func NewBudget(config BudgetConfig) *Budget {
	if config.Share == 0 {
		config.Share = DefaultShare
	}
	if config.Capacity == 0 {
		config.Capacity = DefaultCapacity
	}
	return &Budget{config: config, balance: config.Capacity}
}

// Earn adds what one first attempt earns.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.config.Capacity, b.balance+b.config.Share)
}

// Spend takes one retry from the budget. It returns false when there is none.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
