/** Placement of the waiting tasks of one job. */
import type { LiveJob } from '../jobs/live-job.js';
import type { OpenTask } from '../jobs/open-tasks.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Term } from '../term/term.js';
import type { CapacityReservation, PlacementSearch } from './capacity-reservation.js';
import type { FleetPolicy } from './fleet-policy.js';
import { fitGang } from './gang-placement.js';
import { ImageHolders, ImageRanks } from './image-availability.js';
import type { JobUrgency } from './job-urgency.js';
import { demandKey } from './machine-capacity.js';
import type { SchedulingCycle } from './scheduling-cycle.js';
import type { TeamCapacity } from './team-capacity.js';
import { Volunteers } from './volunteers.js';

/**
 * Tasks that a starving job may place ahead of all others. Once one is bound, the job is no
 * longer starving, and its other tasks are placed in the usual order.
 */
const MAX_STARVING_TASK_COUNT = 8;
/** Longest fetch on a volunteer, as a multiple of its time without others; see `FetchLimits`. */
const MAX_SLOWDOWN_FACTOR = 2;

/** Dependencies of `JobPlacement`, beside the runtime and the term. */
export interface JobPlacementDependencies {
  readonly teams: TeamCapacity;
  readonly urgency: JobUrgency;
  readonly reservation: CapacityReservation;
  readonly fleetPolicy: FleetPolicy;
}

/**
 * Assigns tasks to volunteers, that is candidate machines, once the task's window has closed. The
 * machine chosen is the first member of the Pareto front of the volunteers with the best image rank.
 */
export class JobPlacement {
  constructor(
    private readonly runtime: Runtime,
    private readonly term: Term,
    private readonly dependencies: JobPlacementDependencies,
  ) {}

  /** Assigns the tasks that fit now, and may reserve capacity for the others. */
  place(job: LiveJob, cycle: SchedulingCycle): void {
    const closed = job.openTasks.list().filter((task) => this.isWindowClosed(task));
    const isStarving = this.dependencies.urgency.isStarving(job);
    const tasks = isStarving ? closed.slice(0, MAX_STARVING_TASK_COUNT) : closed;
    const search = this.searchFor(job, cycle);
    if (cycle.unplaceableDemandKeys.has(search.demandKey))
      return this.deferTasks(search, tasks, cycle);
    // A zone that had enough capacity in an earlier cycle may not have it now.
    job.placement.gangZone = null;
    const isGang = job.spec.kind === 'gang';
    if (isGang && !fitGang(job, cycle.allowedWithFreeCapacity(job), this.dependencies.teams))
      return;
    this.assignTasks(search, tasks, cycle);
  }

  private assignTasks(search: PlacementSearch, tasks: OpenTask[], cycle: SchedulingCycle): void {
    const { job } = search;
    const { teams, urgency, reservation } = this.dependencies;
    const isProtected = urgency.isStarving(job);
    let volunteers = this.volunteersFor(search, cycle);
    for (const [index, task] of tasks.entries()) {
      if (cycle.isAssignmentLimitReached || !teams.hasCapacityFor(job)) return;
      const chosen = volunteers.choose();
      if (!chosen) {
        reservation.recordNoFit();
        // Machines excluded only by the wait for this image may suit a job with another one.
        if (volunteers.tooSlowCount === 0) cycle.unplaceableDemandKeys.add(search.demandKey);
        return this.deferTasks(search, tasks.slice(index), cycle);
      }
      if (reservation.reserveOnHolder(search, chosen, cycle)) continue;
      if (reservation.shouldAwaitHolder(search, chosen)) return;
      if (chosen.machine.hasImage(job.spec.image))
        job.placement.imageHolderWaitSince = this.runtime.now;
      this.term.bindings.assign(job, task.index, chosen.machine, isProtected);
      cycle.recordAssignment();
      job.placement.unplacedSince = null;
      volunteers.recordAssignment(chosen);
      if (!job.spec.oneZone && !job.spec.spread) continue;
      // The zone of this task restricts the machines that the next one may use.
      search.holders = new ImageHolders(job, cycle);
      volunteers = this.volunteersFor(search, cycle);
    }
  }

  private volunteersFor({ job, ranks }: PlacementSearch, cycle: SchedulingCycle): Volunteers {
    const machines = cycle.allowedWithFreeCapacity(job);
    return new Volunteers(job, machines, { ranks, fleetPolicy: this.dependencies.fleetPolicy });
  }

  private searchFor(job: LiveJob, cycle: SchedulingCycle): PlacementSearch {
    // Slow fetches exclude no machine for a gang, which is placed as a whole, or a starving job.
    const ignoresFetchDelays =
      job.spec.kind === 'gang' || this.dependencies.urgency.isStarving(job);
    const { isShared } = this.term.fetchSharing;
    const ranks = new ImageRanks(job.spec, this.runtime.now, isShared, {
      maxSlowdownFactor: ignoresFetchDelays ? Infinity : MAX_SLOWDOWN_FACTOR,
      maxDelay: this.runtime.operator.window.lambda,
    });
    const holders = new ImageHolders(job, cycle);
    return { job, demandKey: demandKey(job), ranks, holders };
  }

  /**
   * Whether the task's window has been open for `closeEarlyAfter` or for λ, whichever is shorter.
   * It may close before λ since recent heartbeats already show which machines volunteer.
   */
  private isWindowClosed(task: OpenTask): boolean {
    const { closeEarlyAfter, lambda } = this.runtime.operator.window;
    return this.runtime.now - task.windowOpenedAt >= Math.min(closeEarlyAfter, lambda);
  }

  /** Restarts windows that have lasted λ, and reserves capacity for tasks that fit nowhere now. */
  private deferTasks(search: PlacementSearch, tasks: OpenTask[], cycle: SchedulingCycle): void {
    if (tasks.length === 0) return;
    const { now, operator } = this.runtime;
    search.job.placement.unplacedSince ??= now;
    for (const task of tasks) {
      if (now - task.windowOpenedAt >= operator.window.lambda) task.windowOpenedAt = now;
    }
    this.dependencies.reservation.reserve(search, tasks.length, cycle);
  }
}
