package agent

import "expvar"

// Metrics returns the agent's metrics for expvar.
func (a *Agent) Metrics() expvar.Var {
	m := new(expvar.Map).Init()
	m.Set("InFlight", expvar.Func(func() any { return a.InFlight() }))
	m.Set("EndpointUp", expvar.Func(func() any { return a.Up() }))
	return m
}
