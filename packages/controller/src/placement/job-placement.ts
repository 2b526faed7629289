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

/** Tasks that a starving job places ahead of others; its other tasks take their turn. */
const MAX_STARVING_TASK_COUNT = 8;
/** A fetch may take this many times as long as alone before its machine is no volunteer. */
const MAX_SLOWDOWN_FACTOR = 2;

/** What placement works with, beside the term. */
export interface PlacementParts {
  readonly teams: TeamCapacity;
  readonly urgency: JobUrgency;
  readonly reservation: CapacityReservation;
  readonly fleetPolicy: FleetPolicy;
}

/**
 * Assigns tasks whose window has closed to volunteers: holders of the image first, then the
 * first point of the Pareto front.
 */
export class JobPlacement {
  constructor(
    private readonly runtime: Runtime,
    private readonly term: Term,
    private readonly parts: PlacementParts,
  ) {}

  /** Assigns what fits now; for the rest, capacity may be reserved. */
  place(job: LiveJob, cycle: SchedulingCycle): void {
    const closed = job.openTasks.list().filter((task) => this.isWindowClosed(task));
    const isStarving = this.parts.urgency.isStarving(job);
    const tasks = isStarving ? closed.slice(0, MAX_STARVING_TASK_COUNT) : closed;
    const search = this.searchFor(job, cycle);
    if (cycle.unplaceableDemandKeys.has(search.demandKey))
      return this.deferTasks(search, tasks, cycle);
    // The zone of an earlier window says nothing about this one.
    job.placement.gangZone = null;
    const isGang = job.spec.kind === 'gang';
    if (isGang && !fitGang(job, cycle.allowedWithFreeCapacity(job), this.parts.teams)) return;
    this.assignTasks(search, tasks, cycle);
  }

  private assignTasks(search: PlacementSearch, tasks: OpenTask[], cycle: SchedulingCycle): void {
    const { job } = search;
    const { teams, urgency, reservation } = this.parts;
    const isProtected = urgency.isStarving(job);
    let volunteers = this.volunteersFor(search, cycle);
    for (const [index, task] of tasks.entries()) {
      if (cycle.isAssignmentLimitReached || !teams.hasCapacityFor(job)) return;
      const chosen = volunteers.choose();
      if (!chosen) {
        reservation.recordNoFit();
        // Where only fetches are in the way, another job may use the capacity.
        if (volunteers.tooSlowCount === 0) cycle.unplaceableDemandKeys.add(search.demandKey);
        return this.deferTasks(search, tasks.slice(index), cycle);
      }
      if (reservation.reserveOnHolder(search, chosen, cycle)) continue;
      if (reservation.shouldAwaitHolder(search, chosen)) return;
      if (chosen.machine.hasImage(job.spec.image))
        job.placement.imageHolderWaitSince = this.runtime.now;
      this.term.bindings.assign(job, task.index, chosen.machine, isProtected);
      cycle.recordAssignment();
      job.placement.starvedSince = null;
      volunteers.recordAssignment(chosen);
      if (!job.spec.oneZone && !job.spec.spread) continue;
      // Where the next task may go depends on where this one went.
      search.holders = new ImageHolders(job, cycle);
      volunteers = this.volunteersFor(search, cycle);
    }
  }

  private volunteersFor({ job, ranks }: PlacementSearch, cycle: SchedulingCycle): Volunteers {
    const machines = cycle.allowedWithFreeCapacity(job);
    return new Volunteers(job, machines, { ranks, fleetPolicy: this.parts.fleetPolicy });
  }

  private searchFor(job: LiveJob, cycle: SchedulingCycle): PlacementSearch {
    // A gang is placed as a whole, and a starving job takes whatever there is.
    const takesAny = job.spec.kind === 'gang' || this.parts.urgency.isStarving(job);
    const { isShared } = this.term.fetchSharing;
    const ranks = new ImageRanks(job.spec, this.runtime.now, isShared, {
      maxSlowdownFactor: takesAny ? Infinity : MAX_SLOWDOWN_FACTOR,
      maxDelay: this.runtime.operator.window.lambda,
    });
    const holders = new ImageHolders(job, cycle);
    return { job, demandKey: demandKey(job), ranks, holders };
  }

  /** λ is over, or the window may close early since standing volunteers are known. */
  private isWindowClosed(task: OpenTask): boolean {
    const { closeEarly, lambda } = this.runtime.operator.window;
    return this.runtime.now - task.windowOpenedAt >= Math.min(closeEarly, lambda);
  }

  /** For tasks without a fit: windows that are over start again, and capacity is reserved. */
  private deferTasks(search: PlacementSearch, tasks: OpenTask[], cycle: SchedulingCycle): void {
    if (tasks.length === 0) return;
    const { now, operator } = this.runtime;
    search.job.placement.starvedSince ??= now;
    for (const task of tasks) {
      if (now - task.windowOpenedAt >= operator.window.lambda) task.windowOpenedAt = now;
    }
    this.parts.reservation.reserve(search, tasks.length, cycle);
  }
}
