package overload_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/overload"
)

// randomJobs draws jobs of very different sizes that were accepted within the last ten seconds.
func randomJobs(r *rand.Rand, n int) []overload.Job {
	jobs := make([]overload.Job, n)
	for i := range jobs {
		left := time.Duration((1 + 9*r.Float64()) * float64(time.Second))
		jobs[i] = overload.Job{
			Number: int64(i), Organisation: fmt.Sprint("o", r.IntN(4)), Begun: r.IntN(4) == 0, BeyondRate: r.IntN(5) == 0,
			Work: 3000 * r.Float64() * r.Float64(), Left: left, Waited: time.Duration((1 - float64(i)/float64(n)) * 10 * float64(time.Second)), Objective: 2*left + time.Second,
		}
	}
	return jobs
}

// Guards against a set that does not fit: no schedule would then keep its promises.
func TestSelectedJobsFitTogether(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		jobs := randomJobs(r, 5+r.IntN(100))
		for i := range jobs {
			jobs[i].Begun = false
		}
		c := overload.Capacity{Total: 2000, Occupied: 1000, OccupiedFor: 5 * time.Second}
		quotas := map[string]overload.Capacity{"o1": {Total: 300}}
		classes := overload.Select(jobs, c, quotas)
		for name, total := range map[string]float64{"": 2000, "o1": 300} {
			requireFits(t, jobs, classes, name, total, fmt.Sprintf("seed %d, organisation %q", seed, name))
		}
	}
}

// requireFits checks that the selected jobs that are due by any time fit into the capacity until then.
func requireFits(t *testing.T, jobs []overload.Job, classes []overload.Class, organisation string, total float64, msg string) {
	t.Helper()
	type item struct {
		due  time.Duration
		work float64
	}
	var set []item
	for i, j := range jobs {
		if classes[i] == overload.OnTime && (organisation == "" || j.Organisation == organisation) {
			set = append(set, item{j.Objective - j.Waited, j.Work})
		}
	}
	slices.SortFunc(set, func(a, b item) int { return int(a.due - b.due) })
	sum := 0.0
	for _, x := range set {
		sum += x.work
		require.LessOrEqual(t, sum, total*x.due.Seconds()+1e-6, msg)
	}
}

// Guards against rejecting or delaying anything while there is capacity for all.
func TestAllJobsAreOnTimeWithEnoughCapacity(t *testing.T) {
	jobs := randomJobs(rand.New(rand.NewPCG(1, 1)), 50)
	for i := range jobs {
		jobs[i].Waited = 0
	}
	for _, c := range overload.Select(jobs, overload.Capacity{Total: 1e6}, nil) {
		require.Equal(t, overload.OnTime, c)
	}
}

// Load: twice as much work as there is capacity for arrives at once, half of it from an organisation
// beyond its rate. What others sent within their rates is on time.
func TestJobsBeyondTheRateAreDroppedFirst(t *testing.T) {
	var jobs []overload.Job
	for i := range 40 {
		jobs = append(jobs, overload.Job{Number: int64(i), Organisation: fmt.Sprint("o", i%2), BeyondRate: i%2 == 0, Work: 100, Left: 5 * time.Second, Objective: 10 * time.Second})
	}
	classes := overload.Select(jobs, overload.Capacity{Total: 200}, nil)
	for i, c := range classes {
		want := overload.OnTime
		if jobs[i].BeyondRate {
			want = overload.Hopeless
		}
		require.Equal(t, want, c, "job %d", i)
	}
}

// Guards against work that is thrown away: a job that has begun keeps its place when new ones arrive.
func TestBegunJobsKeepTheirPlace(t *testing.T) {
	jobs := []overload.Job{
		{Number: 9, Begun: true, Work: 500, Left: 5 * time.Second, Waited: 4 * time.Second, Objective: 12 * time.Second},
		{Number: 1, Work: 500, Left: 5 * time.Second, Waited: 4 * time.Second, Objective: 12 * time.Second},
	}
	require.Equal(t, []overload.Class{overload.OnTime, overload.Late}, overload.Select(jobs, overload.Capacity{Total: 100}, nil))
}

// Guards against promises on capacity that less urgent tasks still use.
func TestOccupiedCapacityBecomesAvailableOverTime(t *testing.T) {
	job := []overload.Job{{Work: 100, Left: time.Second, Objective: 2 * time.Second}}
	free := overload.Capacity{Total: 100}
	require.Equal(t, overload.OnTime, overload.Select(job, free, nil)[0])
	full := overload.Capacity{Total: 100, Occupied: 100, OccupiedFor: 5 * time.Second}
	require.Equal(t, overload.Late, overload.Select(job, full, nil)[0])
}

func ExampleSelect() {
	job := func(number int64, work float64) overload.Job {
		return overload.Job{Number: number, Work: work, Left: 2 * time.Second, Objective: 10 * time.Second}
	}
	// 100 processors have 1,000 processor-seconds within ten seconds.
	fmt.Println(overload.Select([]overload.Job{job(1, 400), job(2, 500), job(3, 300)}, overload.Capacity{Total: 100}, nil))
	// Output: [0 0 1]
}

func BenchmarkSelect(b *testing.B) {
	jobs := randomJobs(rand.New(rand.NewPCG(1, 1)), 500)
	for b.Loop() {
		overload.Select(jobs, overload.Capacity{Total: 20_000, Occupied: 10_000, OccupiedFor: 5 * time.Second}, map[string]overload.Capacity{"o1": {Total: 3000}})
	}
}

// One old job needs more than the whole capacity until its latest end. Guards against dropping every
// newer job for one that is late in any case.
func TestJobTooLargeForTheCapacityDropsNoOthers(t *testing.T) {
	for begun, class := range map[bool]overload.Class{false: overload.Hopeless, true: overload.OnTime} {
		jobs := []overload.Job{{Begun: begun, Work: 1e6, Left: time.Second, Objective: 10 * time.Second}}
		for i := range 5 {
			jobs = append(jobs, overload.Job{Number: int64(i + 1), Work: 100, Left: time.Second, Objective: 9 * time.Second})
		}
		want := slices.Repeat([]overload.Class{overload.OnTime}, len(jobs))
		want[0] = class
		require.Equal(t, want, overload.Select(jobs, overload.Capacity{Total: 1000}, nil), "begun %t", begun)
	}
}
