/**
 * Straight lines through measured points.
 *
 * @module
 */

/** One measurement. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A line fitted by least squares. */
export interface Fit {
  readonly slope: number;
  /** Standard error of the slope: its spread. */
  readonly slopeError: number;
  readonly intercept: number;
  /** Share of the points' variation that the line explains. */
  readonly r2: number;
  /** Range of x that was measured; beyond it the line is a guess. */
  readonly from: number;
  readonly to: number;
  readonly points: number;
}

/** Fits a line; needs three points with different x. */
export function fitLine(points: readonly Point[]): Fit {
  const n = points.length;
  const meanX = mean(points.map(({ x }) => x));
  const meanY = mean(points.map(({ y }) => y));
  const sxx = sum(points.map(({ x }) => (x - meanX) ** 2));
  const sxy = sum(points.map(({ x, y }) => (x - meanX) * (y - meanY)));
  const syy = sum(points.map(({ y }) => (y - meanY) ** 2));
  const slope = sxy / sxx;
  const intercept = meanY - slope * meanX;
  const residual = sum(
    points.map(({ x, y }) => (y - intercept - slope * x) ** 2),
  );
  return {
    slope: rounded(slope),
    slopeError: rounded(Math.sqrt(residual / (n - 2) / sxx)),
    intercept: rounded(intercept),
    r2: syy === 0 ? 1 : rounded(1 - residual / syy),
    from: Math.min(...points.map(({ x }) => x)),
    to: Math.max(...points.map(({ x }) => x)),
    points: n,
  };
}

/** Four significant digits: more would claim what no run here can give. */
export function rounded(value: number): number {
  return Number(value.toPrecision(4));
}

/** The middle one of some measurements. */
export function median(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)]!;
}

function mean(values: readonly number[]): number {
  return sum(values) / values.length;
}

function sum(values: readonly number[]): number {
  return values.reduce((a, b) => a + b, 0);
}
