/** One run through all waiting jobs. */
import { fits, minResources, priorityRank, resourcesOf } from '@tealdock/scheduler';
import type { LiveJob } from '../jobs/live-job.js';
import type { UsageView } from '../machines/usage-ledger.js';
import { allowedMachines, type MachineCapacity } from './machine-capacity.js';

/** The rest waits for the next cycle: heartbeats are answered in between. */
const MAX_ASSIGNMENT_COUNT = 300;
/** Preemption plans look at every task of every machine that they cover. */
const MAX_PREEMPTION_PLAN_COUNT = 6;
/** Machines covered by a cycle's plans, so that their cost does not grow with the fleet. */
const MAX_PLANNED_MACHINE_COUNT = 1200;

/** What a cycle reads of the term. */
interface CycleTermView {
  readonly jobs: ReadonlyMap<string, LiveJob>;
  readonly ledger: UsageView;
}

/**
 * What one cycle sees of the fleet, and what it has found out so far. In overload hundreds of
 * jobs wait and almost every machine is full: machines that no waiting task could use are
 * sorted out once, not once for each job.
 */
export class SchedulingCycle {
  /** Demand keys that fit on no machine. */
  readonly unplaceableDemandKeys = new Set<string>();
  private assignments = 0;
  private plans = 0;
  private plannedMachines = 0;
  private readonly withFreeCapacity: MachineCapacity[];
  private readonly withCapacityAfterStops: MachineCapacity[];
  /** The lowest priority of all bound tasks; Infinity if there are none. */
  private readonly lowestBoundRank: number;
  /** Teams with bound tasks. */
  private readonly boundTeams: ReadonlySet<string>;

  /** At least one job has to wait. */
  constructor(
    private readonly machines: MachineCapacity[],
    private readonly term: CycleTermView,
    waiting: LiveJob[],
  ) {
    const smallest = waiting.map(({ spec }) => resourcesOf(spec)).reduce(minResources);
    this.withFreeCapacity = machines.filter(({ free }) => fits(smallest, free));
    this.withCapacityAfterStops = machines.filter(({ freeAfterStops }) =>
      fits(smallest, freeAfterStops),
    );
    const bound = [...term.jobs.values()].filter(({ bindings }) => bindings.size > 0);
    this.lowestBoundRank = bound.reduce(
      (lowest, { spec }) => Math.min(lowest, priorityRank(spec)),
      Infinity,
    );
    this.boundTeams = new Set(bound.map(({ spec }) => spec.team));
  }

  /** Tasks assigned in this cycle. */
  get assignmentCount(): number {
    return this.assignments;
  }

  /** Preemption plans made in this cycle. */
  get preemptionPlanCount(): number {
    return this.plans;
  }

  /** Whether this cycle may assign no more tasks. */
  get isAssignmentLimitReached(): boolean {
    return this.assignments >= MAX_ASSIGNMENT_COUNT;
  }

  /** Whether this cycle may make one more preemption plan. */
  get mayPlanPreemption(): boolean {
    return (
      this.plans < MAX_PREEMPTION_PLAN_COUNT && this.plannedMachines < MAX_PLANNED_MACHINE_COUNT
    );
  }

  /** Whether tasks of lower priority are bound, which might be stopped for the job. */
  hasLowerPriorityTasks(job: LiveJob): boolean {
    return this.lowestBoundRank < priorityRank(job.spec);
  }

  /** Whether tasks of other teams are bound. */
  hasTasksOfOtherTeams(job: LiveJob): boolean {
    return this.boundTeams.size > (this.boundTeams.has(job.spec.team) ? 1 : 0);
  }

  /** A task was assigned. */
  recordAssignment(): void {
    this.assignments++;
  }

  /** A preemption plan was made that covers so many machines. */
  recordPreemptionPlan(machineCount: number): void {
    this.plans++;
    this.plannedMachines += machineCount;
  }

  /** Machines that the job may use, with some capacity free now. */
  allowedWithFreeCapacity(job: LiveJob): MachineCapacity[] {
    return this.allowed(job, this.withFreeCapacity);
  }

  /** Machines that the job may use, with some capacity free once all stops are done. */
  allowedAfterStops(job: LiveJob): MachineCapacity[] {
    return this.allowed(job, this.withCapacityAfterStops);
  }

  /** All machines that the job may use. */
  allAllowed(job: LiveJob): MachineCapacity[] {
    return this.allowed(job, this.machines);
  }

  private allowed(job: LiveJob, machines: MachineCapacity[]): MachineCapacity[] {
    return allowedMachines(job, machines, this.term.ledger.zoneCountsOf(job.id));
  }
}
