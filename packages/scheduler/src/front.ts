/** One volunteer as the front sees it: three criteria, all lowered. */
export interface Volunteer {
  machine: string;
  /** Booked share of the machine, from 0 to 1. */
  load: number;
  /** Price per hour; 0 for an owned machine. */
  price: number;
  /** Computing time booked on it over the recent past. */
  recent: number;
  /** 0: holds the image; 1: is fetching it; 2: fetches nothing; 3: is busy fetching others. */
  imageRank: number;
}

const dominates = (a: Volunteer, b: Volunteer): boolean =>
  a.load <= b.load &&
  a.price <= b.price &&
  a.recent <= b.recent &&
  (a.load < b.load || a.price < b.price || a.recent < b.recent);

/** The first volunteer, in the order given, that no other one dominates. */
export function firstOfFront(volunteers: Volunteer[]): Volunteer | undefined {
  return volunteers.find((v) => !volunteers.some((other) => dominates(other, v)));
}

/**
 * Heuristic 3-ter with image holders first: the front among them, else among
 * those that will have the image soonest.
 */
export function choose(volunteers: Volunteer[]): Volunteer | undefined {
  const best = Math.min(...volunteers.map((v) => v.imageRank));
  return firstOfFront(volunteers.filter((v) => v.imageRank === best));
}
