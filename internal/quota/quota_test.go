package quota_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/quota"
)

func run(organisation string, cpu int64) quota.Run {
	return quota.Run{Organisation: organisation, Size: cell.Size{CPU: cpu, Mem: cpu}}
}

func TestRunsCountUntilTheyAreRemoved(t *testing.T) {
	u := quota.New()
	u.SetQuotas(map[string]cell.Size{"a": {CPU: 10}})
	u.Add(run("a", 6))
	require.True(t, u.Fits("a", cell.Size{CPU: 4, Mem: 1 << 40}), "memory is not limited")
	require.False(t, u.Fits("a", cell.Size{CPU: 5}))
	require.InDelta(t, 0.6, u.Share("a"), 1e-9)
	u.Remove(run("a", 6))
	require.True(t, u.Fits("a", cell.Size{CPU: 10}))
	require.Zero(t, u.Share("a"))
}

func TestOrganisationsWithoutAQuotaAreNotLimited(t *testing.T) {
	u := quota.New()
	u.SetQuotas(map[string]cell.Size{"a": {CPU: 10}, "b": {}})
	for _, name := range []string{"", "b", "unknown"} {
		u.Add(run(name, 1<<40))
		require.True(t, u.Fits(name, cell.Size{CPU: 1 << 40}), name)
		require.False(t, u.Limits(name), name)
	}
}

// Guards against runs that are forgotten when quotas change.
func TestRunsCountForAQuotaThatComesLater(t *testing.T) {
	u := quota.New()
	u.Add(run("a", 6))
	require.False(t, u.Fits("a", cell.Size{CPU: 1}), "the quota is not known yet")
	require.True(t, u.Fits("", cell.Size{CPU: 1}))
	u.SetQuotas(map[string]cell.Size{"a": {CPU: 5}})
	require.False(t, u.Fits("a", cell.Size{CPU: 1}))
	u.SetQuotas(nil)
	require.True(t, u.Fits("a", cell.Size{CPU: 1}))
}

func TestNegativeQuotaAllowsNothing(t *testing.T) {
	u := quota.New()
	u.SetQuotas(map[string]cell.Size{"a": {CPU: -1}})
	require.False(t, u.Fits("a", cell.Size{CPU: 1}))
	require.False(t, u.Fits("a", cell.Size{Mem: 1}))
}

func TestLastingRunsAreToldApart(t *testing.T) {
	u := quota.New()
	u.SetQuotas(map[string]cell.Size{"a": {CPU: 10}})
	lasting := run("a", 3)
	lasting.Lasts = true
	u.Add(lasting)
	u.Add(run("a", 7))
	require.False(t, u.Fits("a", cell.Size{CPU: 7}))
	require.True(t, u.FitsBesideLasting("a", cell.Size{CPU: 7}))
	require.False(t, u.FitsBesideLasting("a", cell.Size{CPU: 8}))
}
