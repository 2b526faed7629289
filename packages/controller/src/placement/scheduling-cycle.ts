/** One run through all waiting jobs. */
import { fits, minResources, resourcesOf, priorityRank, type Resources } from '@tealdock/scheduler';
import { allowedMachines, type MachineCapacity } from './machine-capacity.js';
import type { LiveJob } from '../jobs/live-job.js';
import type { UsageView } from '../machines/usage-ledger.js';

/** A cycle that books more goes on in the next one: reports are answered in between. */
const MAX_BOOKINGS = 300;
/** Plans to make room look at every task of every machine that is looked at. */
const MAX_PREEMPTION_PLANS = 6;
/** So many machines a cycle, and one plan at least: the cost must not grow with the fleet. */
const MAX_PLANNED_MACHINES = 1200;

/** What a cycle has to know of the term. */
interface BoundTasks {
  readonly jobs: ReadonlyMap<string, LiveJob>;
  readonly ledger: UsageView;
}

/**
 * What one cycle sees of the fleet, and what it has found out so far. In overload
 * hundreds of jobs wait and almost every machine is full: what no waiting task could
 * use is sorted out once, not once for each job.
 */
export class SchedulingCycle {
  /** Demands that no machine has room for. */
  readonly full = new Set<string>();
  bookings = 0;
  preemptionPlans = 0;
  private plannedMachines = 0;
  private readonly withFreeCapacity: MachineCapacity[];
  private readonly withCapacitySoon: MachineCapacity[];
  /** The lowest priority of all that is bound to machines, and whose it is. */
  private readonly lowest: number;
  private readonly teams: ReadonlySet<string>;

  constructor(
    private readonly machines: MachineCapacity[],
    private readonly term: BoundTasks,
    waiting: LiveJob[],
  ) {
    const smallest = leastNeed(waiting);
    this.withFreeCapacity = machines.filter((d) => fits(smallest, d.free));
    this.withCapacitySoon = machines.filter((d) => fits(smallest, d.freeAfterStops));
    const bound = [...term.jobs.values()].filter((job) => job.bindings.size > 0);
    this.lowest = bound.reduce((low, job) => Math.min(low, priorityRank(job.spec)), Infinity);
    this.teams = new Set(bound.map((job) => job.spec.team));
  }

  /** Work of lower priority has room that it might give up for the job. */
  hasLowerWork(job: LiveJob): boolean {
    return this.lowest < priorityRank(job.spec);
  }

  hasOtherTeams(job: LiveJob): boolean {
    return this.teams.size > (this.teams.has(job.spec.team) ? 1 : 0);
  }

  get bookingLimitReached(): boolean {
    return this.bookings >= MAX_BOOKINGS;
  }

  get mayPlanPreemption(): boolean {
    return (
      this.preemptionPlans < MAX_PREEMPTION_PLANS && this.plannedMachines < MAX_PLANNED_MACHINES
    );
  }

  notePlan(machines: number): void {
    this.preemptionPlans++;
    this.plannedMachines += machines;
  }

  /** Where the job may go, and something has room now. */
  candidatesNow(job: LiveJob): MachineCapacity[] {
    return this.allowed(job, this.withFreeCapacity);
  }

  /** Where the job may go, and something will have room once all that is stopped is gone. */
  candidatesSoon(job: LiveJob): MachineCapacity[] {
    return this.allowed(job, this.withCapacitySoon);
  }

  /** Where the job may go. */
  everywhere(job: LiveJob): MachineCapacity[] {
    return this.allowed(job, this.machines);
  }

  private allowed(job: LiveJob, machines: MachineCapacity[]): MachineCapacity[] {
    return allowedMachines(job, machines, this.term.ledger.zoneCountsOf(job.id));
  }
}

function leastNeed(jobs: LiveJob[]): Resources {
  return jobs.map((job) => resourcesOf(job.spec)).reduce(minResources);
}
