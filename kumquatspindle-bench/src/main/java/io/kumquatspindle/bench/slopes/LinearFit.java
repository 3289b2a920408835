package io.kumquatspindle.bench.slopes;

/**
 * Linear regression by ordinary least squares.
 *
 * @param points the number of points
 * @param intercept the value at zero
 * @param slope the change of the value per unit of the factor
 * @param slopeError the standard error of the slope; NaN with fewer than three points
 * @param r2 the coefficient of determination; 1 if all values are equal
 */
record LinearFit(int points, double intercept, double slope, double slopeError, double r2) {

  static LinearFit of(double[] x, double[] y) {
    int n = x.length;
    if (n < 2 || y.length != n) {
      throw new IllegalArgumentException(
          "x and y must have the same length of at least 2, length of x: " + n);
    }
    double mx = mean(x);
    double my = mean(y);
    double sxx = 0;
    double sxy = 0;
    double syy = 0;
    for (int i = 0; i < n; i++) {
      sxx += (x[i] - mx) * (x[i] - mx);
      sxy += (x[i] - mx) * (y[i] - my);
      syy += (y[i] - my) * (y[i] - my);
    }
    if (sxx == 0) {
      throw new IllegalArgumentException("all x values are equal: " + mx);
    }
    double slope = sxy / sxx;
    double residual = Math.max(0, syy - slope * sxy);
    double error = n > 2 ? Math.sqrt(residual / (n - 2) / sxx) : Double.NaN;
    double r2 = syy == 0 ? 1 : 1 - residual / syy;
    return new LinearFit(n, my - slope * mx, slope, error, r2);
  }

  double valueAt(double x) {
    return intercept + slope * x;
  }

  private static double mean(double[] v) {
    double sum = 0;
    for (double d : v) {
      sum += d;
    }
    return sum / v.length;
  }
}
