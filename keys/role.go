package keys

import (
	"crypto/x509"
	"slices"
)

// Role says what the holder of a certificate may do. A certificate carries a role as an
// organisational unit of its subject.
type Role string

// The roles. RoleRead, RoleOperate and RoleAdminister are operators' roles; each includes the
// rights of those before it. RoleRouter gives no operators' rights.
const (
	RoleNone       Role = ""
	RoleRead       Role = "read"
	RoleOperate    Role = "operate"
	RoleAdminister Role = "administer"
	RoleRouter     Role = "router"
)

// operatorRoles are in order of ascending rights.
var operatorRoles = []Role{RoleNone, RoleRead, RoleOperate, RoleAdminister}

// HasRole reports whether the certificate carries the role.
func HasRole(c *x509.Certificate, role Role) bool {
	return slices.Contains(c.Subject.OrganizationalUnit, string(role))
}

// OperatorRole returns the highest operators' role that the certificate carries, or RoleNone.
func OperatorRole(c *x509.Certificate) Role {
	for i := len(operatorRoles) - 1; i > 0; i-- {
		if HasRole(c, operatorRoles[i]) {
			return operatorRoles[i]
		}
	}
	return RoleNone
}

// Covers reports whether the operators' role r includes the rights of the role needed. A role
// that is not an operators' role covers no role and is covered by none.
func (r Role) Covers(needed Role) bool {
	have, need := slices.Index(operatorRoles, r), slices.Index(operatorRoles, needed)
	return need >= 0 && have >= need
}
