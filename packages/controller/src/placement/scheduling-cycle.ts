/** The state of one scheduling cycle, which goes through all waiting jobs once. */
import { fits, minResources, priorityRank, resourcesOf } from '@tealdock/scheduler';
import type { LiveJob } from '../jobs/live-job.js';
import type { UsageView } from '../machines/usage-ledger.js';
import { allowedMachines, type MachineCapacity } from './machine-capacity.js';

/** Assignments per cycle. Other tasks wait for the next one: heartbeats are answered in between. */
const MAX_ASSIGNMENT_COUNT = 300;
/** Preemption plans per cycle. Each examines every task on the machines that it covers. */
const MAX_PREEMPTION_PLAN_COUNT = 6;
/**
 * No further plan is made once a cycle's plans have covered this many machines, which bounds
 * their total cost in a large fleet.
 */
const MAX_PLANNED_MACHINE_COUNT = 1200;

/** The part of a term that a cycle reads. */
interface CycleTermView {
  readonly jobs: ReadonlyMap<string, LiveJob>;
  readonly ledger: UsageView;
}

/**
 * The machines that one cycle may use, and its results so far. In overload, hundreds of jobs
 * wait and almost every machine is full: machines that no waiting task could use are therefore
 * filtered out once per cycle, not once per job.
 */
export class SchedulingCycle {
  /** Results of `demandKey` for tasks that fit on no machine in this cycle. */
  readonly unplaceableDemandKeys = new Set<string>();
  private assignments = 0;
  private plans = 0;
  private plannedMachines = 0;
  private readonly withFreeCapacity: MachineCapacity[];
  private readonly withCapacityAfterStops: MachineCapacity[];
  /** The lowest priority rank of all jobs with bound tasks; Infinity if there are none. */
  private readonly lowestBoundRank: number;
  /** Teams with bound tasks. */
  private readonly boundTeams: ReadonlySet<string>;

  /** `waiting` must not be empty. */
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

  /** Number of tasks assigned in this cycle. */
  get assignmentCount(): number {
    return this.assignments;
  }

  /** Number of preemption plans made in this cycle. */
  get preemptionPlanCount(): number {
    return this.plans;
  }

  /** Whether this cycle has assigned as many tasks as it may. */
  get isAssignmentLimitReached(): boolean {
    return this.assignments >= MAX_ASSIGNMENT_COUNT;
  }

  /** Whether this cycle may make one more preemption plan. */
  get mayPlanPreemption(): boolean {
    return (
      this.plans < MAX_PREEMPTION_PLAN_COUNT && this.plannedMachines < MAX_PLANNED_MACHINE_COUNT
    );
  }

  /** Whether tasks of lower priority are bound, which the job might preempt. */
  hasLowerPriorityTasks(job: LiveJob): boolean {
    return this.lowestBoundRank < priorityRank(job.spec);
  }

  /** Whether tasks of other teams are bound. */
  hasTasksOfOtherTeams(job: LiveJob): boolean {
    return this.boundTeams.size > (this.boundTeams.has(job.spec.team) ? 1 : 0);
  }

  /** Counts one assigned task. */
  recordAssignment(): void {
    this.assignments++;
  }

  /** Counts one preemption plan and the machines that it covers. */
  recordPreemptionPlan(machineCount: number): void {
    this.plans++;
    this.plannedMachines += machineCount;
  }

  /** Machines that the job may use, without those that are now too full for any waiting task. */
  allowedWithFreeCapacity(job: LiveJob): MachineCapacity[] {
    return this.allowed(job, this.withFreeCapacity);
  }

  /** Machines that the job may use, without those too full for any waiting task after all stops. */
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
