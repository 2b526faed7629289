/** Chooses a machine for a task from the Pareto front of the candidates by three criteria. */

/** A candidate machine; the paper calls it a volunteer. Lower values are better throughout. */
export interface Volunteer {
  /** Allocated fraction of the machine's most allocated resource, from 0 to 1. */
  allocatedFraction: number;
  /** How much a task on the machine adds to the hourly cost of the fleet; 0 if nothing. */
  marginalPrice: number;
  /** Computing time of the machine's tasks in ms per CPU; earlier time counts less. */
  recentComputeTime: number;
  /**
   * How soon the image is available. 0: present; 1: being fetched; 2: can be fetched immediately;
   * 3 and more: delayed by other fetches.
   */
  imageRank: number;
}

/** Whether `a` is at least as good as `b` by each of the three criteria, and better by one. */
export const dominates = (a: Volunteer, b: Volunteer): boolean =>
  a.allocatedFraction <= b.allocatedFraction &&
  a.marginalPrice <= b.marginalPrice &&
  a.recentComputeTime <= b.recentComputeTime &&
  (a.allocatedFraction < b.allocatedFraction ||
    a.marginalPrice < b.marginalPrice ||
    a.recentComputeTime < b.recentComputeTime);

/**
 * Returns `start` if no volunteer dominates it, else a member of the Pareto front that does. One
 * pass is enough, since dominance is transitive.
 */
function findFrontMember<V extends Volunteer>(start: V, volunteers: readonly V[]): V {
  let best = start;
  for (const volunteer of volunteers) if (dominates(volunteer, best)) best = volunteer;
  return best;
}

/**
 * The first volunteer, in the order given, that no other one dominates; undefined if there are no
 * volunteers. Most dominated volunteers are excluded by comparison with the members of the front
 * found so far, instead of with all volunteers.
 */
export function firstNonDominated<V extends Volunteer>(volunteers: readonly V[]): V | undefined {
  const front: V[] = [];
  for (const volunteer of volunteers) {
    if (front.some((member) => dominates(member, volunteer))) continue;
    const frontMember = findFrontMember(volunteer, volunteers);
    if (frontMember === volunteer) return volunteer;
    front.push(frontMember);
  }
  return undefined;
}

/**
 * Heuristic 3-ter of the paper, restricted to the volunteers with the best image rank: the first
 * member of their Pareto front. Undefined if there are no volunteers.
 */
export function chooseVolunteer<V extends Volunteer>(volunteers: readonly V[]): V | undefined {
  let bestRank = Infinity;
  for (const { imageRank } of volunteers) bestRank = Math.min(bestRank, imageRank);
  return firstNonDominated(volunteers.filter(({ imageRank }) => imageRank === bestRank));
}
