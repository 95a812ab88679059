package measure

import (
	"time"

	"pollencroft/internal/cell"
)

// Packing returns a load whose queue is never empty. Its rows use between a fifth and 1.6 times what
// they declare. All are of class normal, because capacity that is withheld from bulk jobs would
// distort the measured packing.
func Packing(workers int, run time.Duration) JobLoad {
	l := JobLoad{Workers: workers, Run: run, Floor: 40 * workers / 2}
	for i, by := range []float64{0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.2, 1.6} {
		l.Rows = append(l.Rows, RowLoad{
			Class: cell.Normal, Size: cell.Size{CPU: int64(1+i%4) * 1000, Mem: int64(1+i%4) * 3 << 30},
			Time: time.Duration(60+30*(i*7%10)) * time.Second, CPU: by, Mem: by, Long: 0.5 + float64(i%3)/2,
		})
	}
	return l
}

// JobWait returns a load of about nine tenths of the capacity of a failure domain. Urgent and normal
// jobs arrive continuously, some declared sizes and times are far from the actual ones, one worker
// in 24 (two of 48) fails every task, and a flood of bulk jobs arrives. Later, half of the waiting
// bulk jobs are cancelled at once.
func JobWait(workers int) JobLoad {
	second := time.Second
	w := time.Duration(workers)
	return JobLoad{
		Workers: workers, BlackHoles: workers / 24, Run: 20 * time.Minute, Cancel: 10 * time.Minute,
		Rows: []RowLoad{
			{Class: cell.Urgent, Every: 200 * time.Millisecond, Size: cell.Size{CPU: 1000, Mem: 2 << 30}, Time: 10 * second, CPU: 1.5, Mem: 0.5, Long: 1},
			{Class: cell.Normal, Every: 48 * 100 * time.Millisecond / w * 2, Size: cell.Size{CPU: 4000, Mem: 8 << 30}, Time: 60 * second, CPU: 0.6, Mem: 1, Long: 2},
			{Class: cell.Normal, Every: 48 * 500 * time.Millisecond / w, Size: cell.Size{CPU: 2000, Mem: 16 << 30}, Time: 90 * second, CPU: 1, Mem: 0.7, Long: 0.5},
			{Class: cell.Bulk, Flood: 10_000, FloodAt: time.Minute, Size: cell.Size{CPU: 2000, Mem: 4 << 30}, Time: 120 * second, CPU: 1.3, Mem: 0.6, Long: 1},
		},
	}
}
