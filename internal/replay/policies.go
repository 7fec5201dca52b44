package replay

import "cicadaslip/internal/core"

// productPolicies returns the policies that the daemon uses.
func productPolicies() core.Policies { return core.ProductPolicies() }
