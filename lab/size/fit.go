package size

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/mat"
)

// Fit fits a linear function of the variables to the means of the points by ordinary least squares. It returns the
// coefficients and the standard error of each, estimated from the residuals. It needs at least four points, and at least
// two more points than coefficients.
func Fit(points []Point, variables []string) (coefficient, deviation map[string]float64, err error) {
	rows, columns := len(points), len(variables)+1
	if rows < 4 || rows < columns+2 {
		return nil, nil, fmt.Errorf("%d points are too few for %d coefficients", rows, columns)
	}
	inputs, means := mat.NewDense(rows, columns, nil), mat.NewVecDense(rows, nil)
	scale := make([]float64, columns) // maximum magnitude of each column; scaling by it keeps the matrix well conditioned
	for i, point := range points {
		means.SetVec(i, point.Mean)
		for j := range columns {
			value := 1.0
			if j > 0 {
				if value, err = point.At.Product(variables[j-1]); err != nil {
					return nil, nil, err
				}
			}
			inputs.Set(i, j, value)
			scale[j] = max(scale[j], math.Abs(value))
		}
	}
	for j := range columns {
		if scale[j] == 0 {
			return nil, nil, fmt.Errorf("%s is 0 at every point", variables[j-1])
		}
		for i := range rows {
			inputs.Set(i, j, inputs.At(i, j)/scale[j])
		}
	}
	var square, inverse mat.Dense
	square.Mul(inputs.T(), inputs)
	if err := inverse.Inverse(&square); err != nil {
		return nil, nil, fmt.Errorf("the points do not determine the coefficients of %v: %w", variables, err)
	}
	var right, solution, residuals mat.VecDense
	right.MulVec(inputs.T(), means)
	solution.MulVec(&inverse, &right)
	residuals.MulVec(inputs, &solution)
	residuals.SubVec(means, &residuals)
	variance := mat.Dot(&residuals, &residuals) / float64(rows-columns)
	coefficient, deviation = map[string]float64{}, map[string]float64{}
	for j := range columns {
		name := Const
		if j > 0 {
			name = variables[j-1]
		}
		coefficient[name] = solution.AtVec(j) / scale[j]
		deviation[name] = math.Sqrt(variance*inverse.At(j, j)) / scale[j]
	}
	return coefficient, deviation, nil
}
