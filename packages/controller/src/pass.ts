import { fits, least, need, rank, type Resources } from '@tealdock/scheduler';
import { allowedDesks, type Desk } from './desks.js';
import type { LiveJob } from './live-job.js';
import type { Ledger } from './ledger.js';

/** A pass that books more goes on in the next one: reports are answered in between. */
const MOST_BOOKINGS = 300;
/** Plans to make room look at every task of every machine that is looked at. */
const MOST_ROOM_PLANS = 6;
/** So many machines a pass, and one plan at least: the cost must not grow with the fleet. */
const MOST_PLANNED_DESKS = 1200;

/** What a pass has to know of the term. */
interface Bound {
  readonly jobs: ReadonlyMap<string, LiveJob>;
  readonly ledger: Ledger;
}

/**
 * What one pass sees of the fleet, and what it has found out so far. In overload
 * hundreds of jobs wait and almost every machine is full: what no waiting task could
 * use is sorted out once, not once for each job.
 */
export class Pass {
  /** Demands that no machine has room for. */
  readonly full = new Set<string>();
  bookings = 0;
  roomPlans = 0;
  private plannedDesks = 0;
  private readonly roomy: Desk[];
  private readonly emptying: Desk[];
  /** The lowest priority of all that is bound to machines, and whose it is. */
  private readonly lowest: number;
  private readonly teams: ReadonlySet<string>;

  constructor(
    private readonly desks: Desk[],
    private readonly term: Bound,
    waiting: LiveJob[],
  ) {
    const smallest = leastNeed(waiting);
    this.roomy = desks.filter((d) => fits(smallest, d.free));
    this.emptying = desks.filter((d) => fits(smallest, d.coming));
    const bound = [...term.jobs.values()].filter((job) => job.bound.size > 0);
    this.lowest = bound.reduce((low, job) => Math.min(low, rank(job.spec)), Infinity);
    this.teams = new Set(bound.map((job) => job.spec.team));
  }

  /** Work of lower priority has room that it might give up for the job. */
  hasLowerWork(job: LiveJob): boolean {
    return this.lowest < rank(job.spec);
  }

  hasOtherTeams(job: LiveJob): boolean {
    return this.teams.size > (this.teams.has(job.spec.team) ? 1 : 0);
  }

  get bookedOut(): boolean {
    return this.bookings >= MOST_BOOKINGS;
  }

  get mayPlanRoom(): boolean {
    return this.roomPlans < MOST_ROOM_PLANS && this.plannedDesks < MOST_PLANNED_DESKS;
  }

  notePlan(desks: number): void {
    this.roomPlans++;
    this.plannedDesks += desks;
  }

  /** Where the job may go, and something has room now. */
  withRoom(job: LiveJob): Desk[] {
    return this.allowed(job, this.roomy);
  }

  /** Where the job may go, and something will have room once all that is stopped is gone. */
  withComingRoom(job: LiveJob): Desk[] {
    return this.allowed(job, this.emptying);
  }

  /** Where the job may go. */
  everywhere(job: LiveJob): Desk[] {
    return this.allowed(job, this.desks);
  }

  private allowed(job: LiveJob, desks: Desk[]): Desk[] {
    return allowedDesks(job, desks, this.term.ledger.zonesOf(job.id));
  }
}

function leastNeed(jobs: LiveJob[]): Resources {
  return jobs.map((job) => need(job.spec)).reduce(least);
}
