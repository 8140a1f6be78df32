package capacity

import (
	"math"

	"github.com/rotisserie/eris"
	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Fit is a least-squares fit of y = c0 + c1*x1 + c2*x2 + ...
type Fit struct {
	Coefficients   []float64 // the constant c0 first
	StandardErrors []float64 // standard error of each coefficient
	RSquared       float64
	ResidualStdDev float64 // standard deviation of the residuals
	PointCount     int
}

// ErrTooFewPoints is returned if there are not more measurements than coefficients, so
// that the standard errors cannot be estimated.
var ErrTooFewPoints = eris.New("capacity: too few measurements for a fit with standard errors; measure more sizes")

// FitLinear fits y to the rows of x: one row per measurement, one column per predictor.
// It fails if the predictors are linearly dependent.
func FitLinear(x [][]float64, y []float64) (Fit, error) {
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
		return Fit{}, eris.Wrap(err, "capacity: the effects of the predictors cannot be separated at the measured sizes; measure other sizes")
	}
	return evaluateFit(design, observations, &coefficients)
}

// evaluateFit returns the coefficients with their standard errors and the quality of
// the fit.
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
		return Fit{}, eris.Wrap(err, "capacity: the effects of the predictors cannot be separated at the measured sizes; measure other sizes")
	}
	fit := Fit{RSquared: 1 - residualSumOfSquares/totalSumOfSquares(y), ResidualStdDev: math.Sqrt(variance), PointCount: rows}
	for i := range columns {
		fit.Coefficients = append(fit.Coefficients, coefficients.AtVec(i))
		fit.StandardErrors = append(fit.StandardErrors, math.Sqrt(variance*inverse.At(i, i)))
	}
	return fit, nil
}

// totalSumOfSquares returns the sum of squared differences of y from its mean, which
// is never zero so that callers can divide by it.
func totalSumOfSquares(y *mat.VecDense) float64 {
	mean := mat.Sum(y) / float64(y.Len())
	sum := 0.0
	for i := range y.Len() {
		sum += (y.AtVec(i) - mean) * (y.AtVec(i) - mean)
	}
	return max(sum, math.SmallestNonzeroFloat64)
}

// Predict returns the fitted value at x, which has one element per predictor.
func (f Fit) Predict(x ...float64) float64 {
	value := f.Coefficients[0]
	for i, v := range x {
		value += f.Coefficients[i+1] * v
	}
	return value
}

// ConfidenceMargin returns half the width of the 95% confidence interval of
// Coefficients[i].
func (f Fit) ConfidenceMargin(i int) float64 {
	degreesOfFreedom := float64(f.PointCount - len(f.Coefficients))
	return f.StandardErrors[i] * distuv.StudentsT{Mu: 0, Sigma: 1, Nu: degreesOfFreedom}.Quantile(0.975)
}
