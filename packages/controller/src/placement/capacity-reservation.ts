/** Reserves capacity for tasks that do not start now, and frees it by preemption. */
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

/** Estimated time to stop a task and start another in its place. */
const REPLACEMENT_TIME_MS = 4000;
/** An image fetch takes up to a third longer than at the rate of its machine type. */
const MAX_FETCH_TIME_FACTOR = 4 / 3;
/** Time to start a task once its image is on the machine. */
const START_TIME_MS = 1000;
/** Capacity counts as scarce for this long after a task fitted on no machine. */
const SCARCITY_TIMEOUT_MS = 10_000;
/** Longest wait for a holder of an image, as a fraction of the time for a start with a fetch. */
const HOLDER_WAIT_FRACTION = 1 / 4;
/** Shortest time between two preemption plans for one job. */
const PREEMPTION_PLAN_INTERVAL_MS = 500;

/** Inputs for placing the tasks of one job in one cycle. */
export interface PlacementSearch {
  readonly job: LiveJob;
  readonly demandKey: string;
  readonly ranks: ImageRanks;
  holders: ImageHolders;
}

/**
 * Reserves capacity for tasks that do not start now, so that no later job of the same cycle
 * counts on it. Also decides whether a task waits for a machine that holds its image.
 */
export class CapacityReservation {
  /** When a task last fitted on no machine. */
  private lastNoFitAt: Instant = -Infinity;

  constructor(
    private readonly runtime: Runtime,
    private readonly term: Term,
    private readonly teams: TeamCapacity,
    private readonly urgency: JobUrgency,
    private readonly fleetPolicy: FleetPolicy,
  ) {}

  /** Records that a task fitted on no machine, so that capacity counts as scarce. */
  recordNoFit(): void {
    this.lastNoFitAt = this.runtime.now;
  }

  /**
   * Reserves capacity for `taskCount` tasks of the job on machines where they fit after all
   * requested stops. For the remaining tasks, preempts others if that is allowed.
   */
  reserve(search: PlacementSearch, taskCount: number, cycle: SchedulingCycle): void {
    const { job } = search;
    const nextMachine = machinesFreeAfterStops(search, cycle);
    let preemption: Preemption | null = null;
    for (let remaining = taskCount; remaining > 0; remaining--) {
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
   * Whether a task should wait for a holder of its image instead of starting on the chosen
   * machine. That is so if a fetch there would miss the job's wait objective, while a holder
   * will have capacity after its requested stops or can be given it by preemption. This
   * capacity is then reserved.
   */
  reserveOnHolder(
    search: PlacementSearch,
    chosen: MachineCapacity,
    cycle: SchedulingCycle,
  ): boolean {
    const { job, holders } = search;
    if (chosen.machine.hasImage(job.spec.image)) return false;
    const waited = this.runtime.now - job.dependencies.startableAt;
    const timeLeft = this.urgency.waitObjective(job) - waited;
    if (maxStartTime(job, chosen.type) < timeLeft || timeLeft < REPLACEMENT_TIME_MS) return false;
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
   * Whether the job should wait for a slot on a holder of its image instead of starting on the
   * chosen machine. That is so for a limited time while capacity is scarce, if the holders are
   * busy but large enough for all open tasks of the job. Meanwhile the other machines remain
   * free for jobs whose images they hold.
   */
  shouldAwaitHolder({ job, holders }: PlacementSearch, chosen: MachineCapacity): boolean {
    const { now, operator } = this.runtime;
    const { machine } = chosen;
    const { image } = job.spec;
    if (machine.hasImage(image) || machine.usage.awaitedImages.has(image)) return false;
    // While capacity is not scarce, a start with a fetch takes no capacity that others need.
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
    const waited = now - (job.placement.unplacedSince ?? now);
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

  /** Reserves capacity for one task on a machine that has it free after all stops. */
  private reserveOn(capacity: MachineCapacity, job: LiveJob): void {
    capacity.freeAfterStops = subtractResources(capacity.freeAfterStops, resourcesOf(job.spec));
    this.teams.reserve(job);
  }
}

/**
 * Returns a function that returns the next machine on which a task of the job fits after all
 * stops, or undefined if there are no more. It returns the same machine again as long as a
 * further task fits on it; the caller reserves the capacity between two calls.
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

/** Longest expected time to start a task that has to fetch its image. */
const maxStartTime = ({ spec }: LiveJob, type: MachineType): Duration =>
  fetchTime(spec.imageGb, type.fetchGbPerS) * MAX_FETCH_TIME_FACTOR + START_TIME_MS;
