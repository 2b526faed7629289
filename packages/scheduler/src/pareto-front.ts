/** One volunteer as the front sees it: three criteria, all lowered. */
export interface Volunteer {
  /** Booked share of the machine, from 0 to 1. */
  bookedShare: number;
  /** Price per hour; 0 for an owned machine. */
  price: number;
  /** Computing time booked on it over the recent past. */
  recentComputeTime: number;
  /** 0: holds the image; 1: is fetching it; 2: fetches nothing; from 3: other fetches are in its way. */
  imageRank: number;
}

export const dominates = (a: Volunteer, b: Volunteer): boolean =>
  a.bookedShare <= b.bookedShare &&
  a.price <= b.price &&
  a.recentComputeTime <= b.recentComputeTime &&
  (a.bookedShare < b.bookedShare || a.price < b.price || a.recentComputeTime < b.recentComputeTime);

/** A member of the front at or above the volunteer; dominance is transitive, so one pass does. */
function climb<V extends Volunteer>(from: V, volunteers: readonly V[]): V {
  let top = from;
  for (const v of volunteers) if (dominates(v, top)) top = v;
  return top;
}

/**
 * The first volunteer, in the order given, that no other one dominates. Members
 * of the front found on the way rule most of the others out without a comparison
 * of all with all.
 */
export function firstOfFront<V extends Volunteer>(volunteers: readonly V[]): V | undefined {
  const front: V[] = [];
  for (const v of volunteers) {
    if (front.some((f) => dominates(f, v))) continue;
    const top = climb(v, volunteers);
    if (top === v) return v;
    front.push(top);
  }
  return undefined;
}

/**
 * Heuristic 3-ter with image holders first: the front among them, else among
 * those that will have the image soonest.
 */
export function chooseVolunteer<V extends Volunteer>(volunteers: readonly V[]): V | undefined {
  let best = Infinity;
  for (const v of volunteers) best = Math.min(best, v.imageRank);
  return firstOfFront(volunteers.filter((v) => v.imageRank === best));
}
