/** One volunteer as the front sees it: three criteria, all lowered. */
export interface Volunteer {
  machine: string;
  /** Booked share of the machine, from 0 to 1. */
  load: number;
  /** Price per hour; 0 for an owned machine. */
  price: number;
  /** Computing time booked on it over the recent past. */
  recent: number;
  hasImage: boolean;
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

/** Heuristic 3-ter with image holders first: the front among holders, else among all. */
export function choose(volunteers: Volunteer[]): Volunteer | undefined {
  const holders = volunteers.filter((v) => v.hasImage);
  return firstOfFront(holders.length > 0 ? holders : volunteers);
}
