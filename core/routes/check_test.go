package routes

import (
	"errors"
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

func validConfig() *Config {
	return &Config{
		Version: 3,
		Routes: []Route{
			{Name: "a", Host: "h", Prefix: "/a/", MaxTargets: 1, Shares: []Share{{"s", 1}}},
			{Name: "b", Host: "h", Prefix: "/", MaxTargets: 2, Shares: []Share{{"s", 90}, {"t", 0}}},
		},
		Services: []Service{{Name: "s"}, {Name: "t"}},
	}
}

// Guards against a configuration that is put in force although it is half of one, or leads nowhere.
func TestConfigurationsThatLeadNowhereAreRefused(t *testing.T) {
	assert.NilError(t, validConfig().Check())
	unweighted := validConfig()
	unweighted.Routes[0].Shares[0].Weight = 0
	assert.NilError(t, unweighted.Check())
	for name, c := range map[string]struct {
		damage func(c *Config)
		want   Reason
	}{
		"a version alone":                        {func(c *Config) { *c = Config{Version: 9} }, NoRoutes},
		"no routes":                              {func(c *Config) { c.Routes = nil }, NoRoutes},
		"no services":                            {func(c *Config) { c.Services = nil }, UnknownService},
		"a route without a name":                 {func(c *Config) { c.Routes[0].Name = "" }, MissingName},
		"two routes of one name":                 {func(c *Config) { c.Routes[1].Name = "a" }, DuplicateName},
		"a route without a host":                 {func(c *Config) { c.Routes[0].Host = "" }, InvalidHost},
		"a route without a prefix":               {func(c *Config) { c.Routes[0].Prefix = "" }, InvalidPrefix},
		"a prefix without a slash at its end":    {func(c *Config) { c.Routes[0].Prefix = "/a" }, InvalidPrefix},
		"two routes at one place":                {func(c *Config) { c.Routes[1].Prefix = "/a/" }, DuplicateRoute},
		"a route without a service":              {func(c *Config) { c.Routes[0].Shares = nil }, NoService},
		"a route to a service that is not there": {func(c *Config) { c.Routes[0].Shares[0].Service = "x" }, UnknownService},
		"a negative weight":                      {func(c *Config) { c.Routes[1].Shares[1].Weight = -1 }, InvalidWeight},
		"weights that overflow": {func(c *Config) {
			c.Routes[1].Shares[0].Weight, c.Routes[1].Shares[1].Weight = math.MaxInt, math.MaxInt
		}, InvalidWeight},
		"a negative timeout":          {func(c *Config) { c.Routes[0].Timeout = -1 }, OutOfRange},
		"a negative objective":        {func(c *Config) { c.Routes[0].Objective = -1 }, OutOfRange},
		"a negative priority":         {func(c *Config) { c.Routes[0].Priority = -1 }, OutOfRange},
		"no attempts":                 {func(c *Config) { c.Routes[0].MaxTargets = 0 }, OutOfRange},
		"a service without a name":    {func(c *Config) { c.Services[1].Name = "" }, MissingName},
		"two services of one name":    {func(c *Config) { c.Services[1].Name = "s" }, DuplicateName},
		"negative connections":        {func(c *Config) { c.Services[0].MaxConns = -1 }, OutOfRange},
		"a rate that is not a number": {func(c *Config) { c.Services[0].WarmupRate = math.NaN() }, OutOfRange},
		"a negative limit":            {func(c *Config) { c.Limits.BodyBytes = -1 }, OutOfRange},
	} {
		t.Run(name, func(t *testing.T) {
			damaged := validConfig()
			c.damage(damaged)
			var e *CheckError
			assert.Assert(t, errors.As(damaged.Check(), &e))
			assert.Equal(t, e.Why, c.want)
		})
	}
}
