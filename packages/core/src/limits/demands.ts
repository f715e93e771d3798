/**
 * The demands on one limit as a histogram, so that the level of max-min fair
 * division is found in a time that doesn't grow with the number of daemons. The
 * histogram's grades lie 9% apart, and a demand is rounded up to its grade.
 */

const gradesPerDoubling = 8;
const doublings = 24;
const lastGrade = gradesPerDoubling * doublings;

/** The grade of a demand, which is given as a fraction of the limit; 0 for no demand. */
export function gradeOf(demand: number): number {
	if (demand <= 0) {
		return 0;
	}

	const steps = Math.ceil(gradesPerDoubling * Math.log2(demand));
	return Math.min(lastGrade, Math.max(1, lastGrade + steps));
}

/** The demand that a grade stands for, as a fraction of the limit. */
export function demandOf(grade: number): number {
	return grade === 0 ? 0 : 2 ** ((grade - lastGrade) / gradesPerDoubling);
}

const demandsByGrade = Array.from({length: lastGrade + 1}, (_, grade) =>
	demandOf(grade),
);

/** How a pool is divided: each demand is met up to `level`, and `remainder` is left over. */
export type Division = {readonly level: number; readonly remainder: number};

export class DemandHistogram {
	count = 0;
	readonly #counts = demandsByGrade.map(() => 0);

	add(grade: number): void {
		this.#counts[grade]++;
		this.count++;
	}

	remove(grade: number): void {
		this.#counts[grade]--;
		this.count--;
	}

	/** The sum of all demands. */
	total(): number {
		let sum = 0;
		for (const [grade, demand] of demandsByGrade.entries()) {
			sum += demand * this.#counts[grade];
		}

		return sum;
	}

	/** Divides `pool` over all demands by max-min fairness. */
	divide(pool: number): Division {
		let left = pool;
		let {count} = this;
		for (const [grade, demand] of demandsByGrade.entries()) {
			if (demand * count > left) {
				return {level: left / count, remainder: 0};
			}

			left -= demand * this.#counts[grade];
			count -= this.#counts[grade];
		}

		return {level: 1, remainder: left};
	}
}
