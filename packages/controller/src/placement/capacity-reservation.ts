/** Capacity for tasks that fit nowhere yet: it is reserved, or freed by preemption. */
import type { Duration, Instant, MachineType } from '@tealdock/wire';
import { fits, resourcesOf, subtractResources } from '@tealdock/scheduler';
import type { LiveJob } from '../jobs/live-job.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Term } from '../term/term.js';
import type { FleetPolicy } from './fleet-policy.js';
import { fetchTime, type ImageHolders, type ImageRanks } from './image-availability.js';
import type { JobUrgency } from './job-urgency.js';
import type { MachineCapacity } from './machine-capacity.js';
import { Preemption } from './preemption.js';
import type { SchedulingCycle } from './scheduling-cycle.js';
import type { TeamCapacity } from './team-capacity.js';

/** Time to stop a task and start another in its place. */
const REPLACEMENT_TIME_MS = 4000;
/** Fetches run at their type's rate, give or take a third; a start takes a moment as well. */
const MAX_FETCH_TIME_FACTOR = 4 / 3;
const START_TIME_MS = 1000;
/** Capacity is scarce for so long after a task fitted nowhere. */
const SCARCITY_TIMEOUT_MS = 10_000;
/** Fraction of a fetch's time that a task waits for a holder of its image. */
const HOLDER_WAIT_FRACTION = 1 / 4;
/** Time between preemption plans for one job. */
const PREEMPTION_PLAN_INTERVAL_MS = 500;

/** What the tasks of one job look for in a cycle. */
export interface PlacementSearch {
  readonly job: LiveJob;
  readonly demandKey: string;
  readonly ranks: ImageRanks;
  holders: ImageHolders;
}

/** Decides what tasks wait for that could not be assigned at once. */
export class CapacityReservation {
  /** When a task last fitted nowhere. */
  private lastNoFitAt: Instant = -Infinity;

  constructor(
    private readonly runtime: Runtime,
    private readonly term: Term,
    private readonly teams: TeamCapacity,
    private readonly urgency: JobUrgency,
    private readonly fleetPolicy: FleetPolicy,
  ) {}

  /** A task fitted on no machine. */
  recordNoFit(): void {
    this.lastNoFitAt = this.runtime.now;
  }

  /** Reserves what will be free for the tasks, and preempts others where that is allowed. */
  reserve(search: PlacementSearch, taskCount: number, cycle: SchedulingCycle): void {
    const { job } = search;
    const nextMachine = machinesFreeAfterStops(search, cycle);
    let preemption: Preemption | null = null;
    for (let left = taskCount; left > 0; left--) {
      const machine = nextMachine();
      if (machine) {
        this.reserveOn(machine, job);
        continue;
      }
      if (!preemption && !this.mayPreempt(job, cycle)) return;
      preemption ??= this.planPreemption(search, cycle.allAllowed(job), cycle);
      const freed = preemption.freeOneSlot();
      if (!freed) return;
      this.reserveOn(freed, job);
      preemption.planAgain(freed);
    }
  }

  /**
   * Whether a task is to wait for a holder of its image, on which capacity is reserved then: a
   * fetch would break the objective for its start, while a holder has capacity in time, or can
   * be given it by preemption.
   */
  reserveOnHolder(
    search: PlacementSearch,
    chosen: MachineCapacity,
    cycle: SchedulingCycle,
  ): boolean {
    const { job, holders } = search;
    if (chosen.machine.hasImage(job.spec.image)) return false;
    const waited = this.runtime.now - job.dependencies.startableAt;
    const left = this.urgency.waitObjective(job) - waited;
    if (maxStartTime(job, chosen.type) < left || left < REPLACEMENT_TIME_MS) return false;
    const requested = resourcesOf(job.spec);
    const findHolder = () =>
      holders.machines.find(({ freeAfterStops }) => fits(requested, freeAfterStops));
    if (!findHolder() && this.mayPreempt(job, cycle)) {
      this.planPreemption(search, holders.machines, cycle).freeOneSlot();
    }
    const holder = findHolder();
    if (holder) this.reserveOn(holder, job);
    return holder !== undefined;
  }

  /**
   * Whether the job is to wait a while for a slot on a holder of its image: capacity is
   * scarce, and enough machines hold the image, though they are busy. Work whose image the
   * other machines hold gets their capacity meanwhile.
   */
  shouldAwaitHolder({ job, holders }: PlacementSearch, chosen: MachineCapacity): boolean {
    const { now, operator } = this.runtime;
    const { machine } = chosen;
    const { image } = job.spec;
    if (machine.hasImage(image) || machine.usage.awaitedImages.has(image)) return false;
    // With capacity to spare, a start that fetches takes nothing from others.
    if (now - this.lastNoFitAt > SCARCITY_TIMEOUT_MS) return false;
    job.placement.imageHolderWaitSince ??= now;
    const startTime = maxStartTime(job, chosen.type);
    const maxWait = Math.min(operator.window.lambda, startTime * HOLDER_WAIT_FRACTION);
    if (now - job.placement.imageHolderWaitSince >= maxWait) return false;
    if (this.urgency.nextStartDeadline(job) - now < startTime + maxWait) return false;
    return holders.slotCount >= job.openTasks.count;
  }

  private mayPreempt(job: LiveJob, cycle: SchedulingCycle): boolean {
    const { now } = this.runtime;
    if (!cycle.mayPlanPreemption || job.placement.nextPreemptionPlanAt > now) return false;
    const hasVictims =
      cycle.hasLowerPriorityTasks(job) ||
      (cycle.hasTasksOfOtherTeams(job) && this.urgency.mayReclaimGuarantee(job));
    if (!hasVictims) return false;
    const waited = now - (job.placement.starvedSince ?? now);
    return !this.fleetPolicy.canScaleOut() || waited >= this.urgency.scaleOutWait(job);
  }

  private planPreemption(
    { job, ranks }: PlacementSearch,
    machines: MachineCapacity[],
    cycle: SchedulingCycle,
  ): Preemption {
    cycle.recordPreemptionPlan(machines.length);
    job.placement.nextPreemptionPlanAt = this.runtime.now + PREEMPTION_PLAN_INTERVAL_MS;
    const mayReclaim = this.urgency.mayReclaimGuarantee(job);
    const isReclaiming = () => mayReclaim && this.teams.isBelowGuarantee(job);
    return new Preemption(this.runtime, this.term, { job, ranks, machines, isReclaiming });
  }

  /** Reserves what will be free on a machine for one task. */
  private reserveOn(capacity: MachineCapacity, job: LiveJob): void {
    capacity.freeAfterStops = subtractResources(capacity.freeAfterStops, resourcesOf(job.spec));
    this.teams.reserve(job);
  }
}

/**
 * Returns one machine after the other on which a task fits after all stops; the same one again
 * while more tasks fit.
 */
function machinesFreeAfterStops(
  { job, ranks }: PlacementSearch,
  cycle: SchedulingCycle,
): () => MachineCapacity | undefined {
  const machines = cycle.allowedAfterStops(job);
  const requested = resourcesOf(job.spec);
  let index = 0;
  return () => {
    for (; index < machines.length; index++) {
      const machine = machines[index];
      if (!machine || !fits(requested, machine.freeAfterStops)) continue;
      if (ranks.rankOf(machine) !== null) return machine;
    }
    return undefined;
  };
}

/** Time until a task runs that has to fetch its image, at worst. */
const maxStartTime = ({ spec }: LiveJob, type: MachineType): Duration =>
  fetchTime(spec.imageGb, type.fetchGbPerS) * MAX_FETCH_TIME_FACTOR + START_TIME_MS;
