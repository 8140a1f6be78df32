package capacity

import (
	"math"

	"github.com/rotisserie/eris"
	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Fit is a least-squares fit of y = c0 + c1*x1 + c2*x2 + ...
type Fit struct {
	Coefficients []float64 // the constant first
	Errors       []float64 // standard error of each coefficient
	RSquared     float64
	Residual     float64 // standard deviation of the residuals
	Points       int
}

// ErrTooFewPoints means that a fit has no degree of freedom left for its spread.
var ErrTooFewPoints = eris.New("capacity: too few measurements for a fit with its spread; measure more sizes")

// FitLine fits y over rows of x, each of the same length.
func FitLine(x [][]float64, y []float64) (Fit, error) {
	if len(x) == 0 || len(x) != len(y) || len(y) <= len(x[0])+1 {
		return Fit{}, ErrTooFewPoints
	}
	rows, columns := len(y), len(x[0])+1
	design := mat.NewDense(rows, columns, nil)
	for i, row := range x {
		design.Set(i, 0, 1)
		for j, v := range row {
			design.Set(i, j+1, v)
		}
	}
	target := mat.NewVecDense(rows, y)
	var solved mat.VecDense
	if err := solved.SolveVec(design, target); err != nil {
		return Fit{}, eris.Wrap(err, "capacity: the measured sizes do not tell the factors apart; measure other sizes")
	}
	return describe(design, target, &solved)
}

func describe(design *mat.Dense, y, solved *mat.VecDense) (Fit, error) {
	rows, columns := design.Dims()
	var predicted, residual mat.VecDense
	predicted.MulVec(design, solved)
	residual.SubVec(y, &predicted)
	unexplained := mat.Dot(&residual, &residual)
	variance := unexplained / float64(rows-columns)
	var normal, inverse mat.Dense
	normal.Mul(design.T(), design)
	if err := inverse.Inverse(&normal); err != nil {
		return Fit{}, eris.Wrap(err, "capacity: the measured sizes do not tell the factors apart; measure other sizes")
	}
	fit := Fit{RSquared: 1 - unexplained/total(y), Residual: math.Sqrt(variance), Points: rows}
	for i := range columns {
		fit.Coefficients = append(fit.Coefficients, solved.AtVec(i))
		fit.Errors = append(fit.Errors, math.Sqrt(variance*inverse.At(i, i)))
	}
	return fit, nil
}

// total returns the sum of squares of y around its mean.
func total(y *mat.VecDense) float64 {
	mean := mat.Sum(y) / float64(y.Len())
	sum := 0.0
	for i := range y.Len() {
		sum += (y.AtVec(i) - mean) * (y.AtVec(i) - mean)
	}
	return max(sum, math.SmallestNonzeroFloat64)
}

// At returns the fitted value.
func (f Fit) At(x ...float64) float64 {
	value := f.Coefficients[0]
	for i, v := range x {
		value += f.Coefficients[i+1] * v
	}
	return value
}

// Margin returns half of the 95% interval of a coefficient.
func (f Fit) Margin(i int) float64 {
	freedom := float64(f.Points - len(f.Coefficients))
	return f.Errors[i] * distuv.StudentsT{Mu: 0, Sigma: 1, Nu: freedom}.Quantile(0.975)
}
