package io.kumquatspindle.bench.slopes;

/**
 * A straight line fitted by least squares.
 *
 * @param points number of points
 * @param intercept value at zero
 * @param slope change of the value for each unit of the factor
 * @param slopeError standard error of the slope; not a number with fewer than three points
 * @param r2 share of the variance that the line explains; 1 if all values are equal
 */
record LinearFit(int points, double intercept, double slope, double slopeError, double r2) {

  static LinearFit of(double[] x, double[] y) {
    int n = x.length;
    if (n < 2 || y.length != n) {
      throw new IllegalArgumentException("a line needs two points, got " + n);
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
      throw new IllegalArgumentException("all points are at " + mx);
    }
    double slope = sxy / sxx;
    double left = Math.max(0, syy - slope * sxy);
    double error = n > 2 ? Math.sqrt(left / (n - 2) / sxx) : Double.NaN;
    double r2 = syy == 0 ? 1 : 1 - left / syy;
    return new LinearFit(n, my - slope * mx, slope, error, r2);
  }

  double at(double x) {
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
