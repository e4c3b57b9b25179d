/** Fits a straight line to measured points by least squares. */

export type Point = {readonly size: number; readonly value: number};

export type LinearFit = {
	readonly slope: number;
	readonly intercept: number;
	/** Fraction of the variance that the line explains (R²); 1 is a perfect fit. */
	readonly fit: number;
	readonly points: readonly Point[];
};

/** Fits a line to three or more points. */
export function computeFit(points: readonly Point[]): LinearFit {
	const meanSize = computeMean(points.map(({size}) => size));
	const meanValue = computeMean(points.map(({value}) => value));
	let covariance = 0;
	let variance = 0;
	for (const {size, value} of points) {
		covariance += (size - meanSize) * (value - meanValue);
		variance += (size - meanSize) ** 2;
	}

	const slope = covariance / variance;
	const intercept = meanValue - slope * meanSize;
	return {
		slope,
		intercept,
		fit: computeExplainedVariance(points, slope, intercept),
		points,
	};
}

function computeExplainedVariance(
	points: readonly Point[],
	slope: number,
	intercept: number,
): number {
	const mean = computeMean(points.map(({value}) => value));
	let residualSum = 0;
	let totalSum = 0;
	for (const {size, value} of points) {
		residualSum += (value - (intercept + slope * size)) ** 2;
		totalSum += (value - mean) ** 2;
	}

	return totalSum === 0 ? 1 : 1 - residualSum / totalSum;
}

const computeMean = (values: readonly number[]) =>
	values.reduce((sum, value) => sum + value, 0) / values.length;
