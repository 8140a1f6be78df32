package capacity

import (
	"math"

	"github.com/rotisserie/eris"
	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Fit is a least-squares fit of y = c0 + c1*x1 + c2*x2 + ...
type Fit struct {
	Coefficients   []float64 // the constant first
	StandardErrors []float64 // standard error of each coefficient
	RSquared       float64
	ResidualStdDev float64 // standard deviation of the residuals
	PointCount     int
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
	observations := mat.NewVecDense(rows, y)
	var coefficients mat.VecDense
	if err := coefficients.SolveVec(design, observations); err != nil {
		return Fit{}, eris.Wrap(err, "capacity: the measured sizes do not tell the factors apart; measure other sizes")
	}
	return evaluateFit(design, observations, &coefficients)
}

func evaluateFit(design *mat.Dense, y, coefficients *mat.VecDense) (Fit, error) {
	rows, columns := design.Dims()
	var predicted, residual mat.VecDense
	predicted.MulVec(design, coefficients)
	residual.SubVec(y, &predicted)
	residualSumOfSquares := mat.Dot(&residual, &residual)
	variance := residualSumOfSquares / float64(rows-columns)
	var normal, inverse mat.Dense
	normal.Mul(design.T(), design)
	if err := inverse.Inverse(&normal); err != nil {
		return Fit{}, eris.Wrap(err, "capacity: the measured sizes do not tell the factors apart; measure other sizes")
	}
	fit := Fit{RSquared: 1 - residualSumOfSquares/totalSumOfSquares(y), ResidualStdDev: math.Sqrt(variance), PointCount: rows}
	for i := range columns {
		fit.Coefficients = append(fit.Coefficients, coefficients.AtVec(i))
		fit.StandardErrors = append(fit.StandardErrors, math.Sqrt(variance*inverse.At(i, i)))
	}
	return fit, nil
}

// total returns the sum of squares of y around its mean.
func totalSumOfSquares(y *mat.VecDense) float64 {
	mean := mat.Sum(y) / float64(y.Len())
	sum := 0.0
	for i := range y.Len() {
		sum += (y.AtVec(i) - mean) * (y.AtVec(i) - mean)
	}
	return max(sum, math.SmallestNonzeroFloat64)
}

// At returns the fitted value.
func (f Fit) Predict(x ...float64) float64 {
	value := f.Coefficients[0]
	for i, v := range x {
		value += f.Coefficients[i+1] * v
	}
	return value
}

// Margin returns half of the 95% interval of a coefficient.
func (f Fit) ConfidenceMargin(i int) float64 {
	degreesOfFreedom := float64(f.PointCount - len(f.Coefficients))
	return f.StandardErrors[i] * distuv.StudentsT{Mu: 0, Sigma: 1, Nu: degreesOfFreedom}.Quantile(0.975)
}
