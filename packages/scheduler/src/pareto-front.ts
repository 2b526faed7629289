/** The choice among candidate machines for a task: the Pareto front of three criteria. */

/** A candidate machine, in the paper's word a volunteer; all criteria are to be low. */
export interface Volunteer {
  /** Allocated part of the machine, from 0 to 1. */
  allocatedFraction: number;
  /** Price per hour; 0 for an owned machine. */
  price: number;
  /** Computing time assigned to it over the recent past, in ms per CPU. */
  recentComputeTime: number;
  /**
   * How soon it has the image. 0: holds it; 1: is fetching it; 2: fetches nothing; from 3:
   * other fetches come first.
   */
  imageRank: number;
}

/** Whether `a` is no worse than `b` by any criterion, and better by one. */
export const dominates = (a: Volunteer, b: Volunteer): boolean =>
  a.allocatedFraction <= b.allocatedFraction &&
  a.price <= b.price &&
  a.recentComputeTime <= b.recentComputeTime &&
  (a.allocatedFraction < b.allocatedFraction ||
    a.price < b.price ||
    a.recentComputeTime < b.recentComputeTime);

/** A member of the front at or above the volunteer; dominance is transitive, so one pass does. */
function findFrontMember<V extends Volunteer>(from: V, volunteers: readonly V[]): V {
  let top = from;
  for (const volunteer of volunteers) if (dominates(volunteer, top)) top = volunteer;
  return top;
}

/**
 * The first volunteer, in the order given, that no other one dominates; undefined if there are
 * none. Members of the front found on the way rule most of the others out, without a comparison
 * of all with all.
 */
export function firstNonDominated<V extends Volunteer>(volunteers: readonly V[]): V | undefined {
  const front: V[] = [];
  for (const volunteer of volunteers) {
    if (front.some((member) => dominates(member, volunteer))) continue;
    const top = findFrontMember(volunteer, volunteers);
    if (top === volunteer) return volunteer;
    front.push(top);
  }
  return undefined;
}

/**
 * Heuristic 3-ter of the paper, with the image first: the front among the volunteers that will
 * have it soonest. Undefined if there are no volunteers.
 */
export function chooseVolunteer<V extends Volunteer>(volunteers: readonly V[]): V | undefined {
  let bestRank = Infinity;
  for (const { imageRank } of volunteers) bestRank = Math.min(bestRank, imageRank);
  return firstNonDominated(volunteers.filter(({ imageRank }) => imageRank === bestRank));
}
