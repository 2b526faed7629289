/** The scheduling cycle: which released task goes to which machine. */
import type { Instant, MachineType } from '@tealdock/wire';
import { compareJobs, resourcesOf, taskSlots, withinTeamQuota } from '@tealdock/scheduler';
import type { LiveJob } from '../jobs/live-job.js';
import type { OpenTask } from '../jobs/open-tasks.js';
import { machineTypeOf, type Machine } from '../machines/machine.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Term } from '../term/term.js';
import { CapacityReservation, type Search } from './capacity-reservation.js';
import { Drain } from './drain.js';
import { JobUrgency } from './job-urgency.js';
import {
  ImageHolders,
  ImageRanks,
  Volunteers,
  capacityOf,
  demandOf,
  type MachineCapacity,
} from './machine-capacity.js';
import { SchedulingCycle } from './scheduling-cycle.js';
import { TeamCapacity } from './team-capacity.js';

const CYCLE_INTERVAL = 100;
const REBUILD_CYCLE_INTERVAL = 400;
/** Of a job of which nothing has begun for long; its other tasks take their turn. */
const FIRST_TASKS = 8;
/** A fetch may take this many times as long as alone before its machine is no volunteer. */
const MAX_SLOWDOWN = 2;
/** A report stands for this many intervals between reports, if that is longer than λ. */
const RECENT_REPORTS = 1.5;

/**
 * The single placing leader. Each released task has a window; a machine whose
 * report showed room within it is a volunteer. Holders of the image go first,
 * then the first point of the front. Room is booked at once.
 */
export class Scheduler {
  private lastCycle: Instant = -Infinity;
  private readonly teams: TeamCapacity;
  private readonly urgency: JobUrgency;
  private readonly reservation: CapacityReservation;
  private readonly drain: Drain;

  constructor(
    private readonly runtime: Runtime,
    private readonly term: Term,
    private readonly types: () => MachineType[],
    private readonly priceOf: (machine: Machine, type: MachineType) => number,
    rentable: () => boolean,
    private readonly gathers: () => boolean,
  ) {
    this.teams = new TeamCapacity(runtime, term, types);
    this.urgency = new JobUrgency(runtime, term, types, this.teams);
    this.reservation = new CapacityReservation(runtime, term, this.teams, this.urgency, rentable);
    this.drain = new Drain(runtime, term);
  }

  start(): void {
    this.runtime.every(CYCLE_INTERVAL, () => {
      if (!this.term.closed) this.runCycle();
      return !this.term.closed;
    });
  }

  private runCycle(): void {
    if (!this.term.stateLoaded) return;
    // A thousand reports come first: until they are in, only new jobs can be placed.
    if (
      !this.term.allMachinesReconciled &&
      this.runtime.now - this.lastCycle < REBUILD_CYCLE_INTERVAL
    )
      return;
    this.lastCycle = this.runtime.now;
    this.term.liveJobs.graph.updateDemands();
    for (const job of this.term.jobs.values()) job.openWindows(this.runtime.now);
    if (!this.term.observedJobsLoaded) return;
    this.drain.run();
    this.teams.beginCycle();
    const jobs = this.waitingJobs();
    if (jobs.length === 0) return;
    this.teams.updateUnaccounted();
    const cycle = new SchedulingCycle(this.machines(), this.term, jobs);
    for (const job of jobs) if (!cycle.bookingLimitReached) this.placeJob(job, cycle);
    this.countCycle(cycle, jobs.length);
  }

  private countCycle(cycle: SchedulingCycle, waiting: number): void {
    this.runtime.stats.count('passes');
    this.runtime.stats.count('passes.bookings', cycle.bookings);
    this.runtime.stats.count('passes.room_plans', cycle.preemptionPlans);
    this.runtime.stats.record('passes.waiting_jobs', waiting);
  }

  private waitingJobs(): LiveJob[] {
    const ready = this.term.allMachinesReconciled;
    const waiting = [...this.term.jobs.values()].filter(
      (job) =>
        job.openTasks.count > 0 &&
        !job.backoff.isActive(this.runtime.now) &&
        this.term.mayPlace(job, ready),
    );
    if (waiting.length === 0) return waiting;
    this.urgency.update();
    const ranked = waiting.map((job) => ({ job, key: this.urgency.rankOf(job) }));
    return ranked.sort((a, b) => compareJobs(a.key, b.key)).map((r) => r.job);
  }

  /** Machines whose reports are recent enough to count as volunteers. */
  private machines(): MachineCapacity[] {
    const recent = Math.max(
      this.runtime.operator.window.lambda,
      this.runtime.settings.heartbeatInterval * RECENT_REPORTS,
    );
    const types = this.types();
    const machines: MachineCapacity[] = [];
    for (const machine of this.term.machines.values()) {
      const { heartbeats, registration, health } = machine;
      const { lastCountedAt } = heartbeats;
      if (lastCountedAt === null || this.runtime.now - lastCountedAt > recent) continue;
      if (!registration.isRegistered || registration.isReturning) continue;
      if (heartbeats.preemptionDeadline !== null || health.isQuarantined(this.runtime.now))
        continue;
      const type = machineTypeOf(types, machine);
      if (type) machines.push(capacityOf(machine, type));
    }
    return machines;
  }

  private placeJob(job: LiveJob, cycle: SchedulingCycle): void {
    const closed = job.openTasks.list().filter((task) => this.windowCloses(task));
    const waiting = this.urgency.starves(job) ? closed.slice(0, FIRST_TASKS) : closed;
    const search = this.searchFor(job, cycle);
    if (cycle.full.has(search.demand)) return this.noFit(search, waiting, cycle);
    // The zone of an earlier window says nothing about this one.
    job.placement.gangZone = null;
    if (job.spec.kind === 'gang' && !this.gangFits(job, cycle.candidatesNow(job))) return;
    this.placeTasks(search, waiting, cycle);
  }

  private placeTasks(search: Search, waiting: OpenTask[], cycle: SchedulingCycle): void {
    const { job, demand, ranks } = search;
    const rules = { ranks, priceOf: this.priceOf, gathers: this.gathers() };
    const sheltered = this.urgency.starves(job);
    let volunteers = new Volunteers(job, cycle.candidatesNow(job), rules);
    for (const [at, task] of waiting.entries()) {
      if (cycle.bookingLimitReached || !this.teams.withinTeamLimit(job)) return;
      const chosen = volunteers.choose();
      if (!chosen) {
        this.reservation.noteFull();
        // Where there is room, other fetches are in the way: another job may use it.
        if (volunteers.tooSlow === 0) cycle.full.add(demand);
        return this.noFit(search, waiting.slice(at), cycle);
      }
      if (this.reservation.waitsForHolder(search, chosen, cycle)) continue;
      if (this.reservation.holderMayCome(search, chosen)) return;
      if (chosen.machine.hasImage(job.spec.image))
        job.placement.imageHolderWaitSince = this.runtime.now;
      this.term.bindings.assign(job, task.index, chosen.machine, sheltered);
      cycle.bookings++;
      job.placement.starvedSince = null;
      volunteers.booked(chosen);
      if (!job.spec.oneZone && !job.spec.spread) continue;
      // Where the next task may go depends on where this one went.
      search.holders = new ImageHolders(job, cycle);
      volunteers = new Volunteers(job, cycle.candidatesNow(job), rules);
    }
  }

  private searchFor(job: LiveJob, cycle: SchedulingCycle): Search {
    // A gang is booked as a whole, and a job that nothing has begun of takes what there is.
    const any = job.spec.kind === 'gang' || this.urgency.starves(job);
    const shared = this.term.fetchSharing.isShared;
    const limits = {
      slowdown: any ? Infinity : MAX_SLOWDOWN,
      patience: this.runtime.operator.window.lambda,
    };
    const ranks = new ImageRanks(job.spec, this.runtime.now, shared, limits);
    return { job, demand: demandOf(job), ranks, holders: new ImageHolders(job, cycle) };
  }

  /** A gang is booked only when one window fits all its tasks; nothing is held for part of it. */
  private gangFits(job: LiveJob, allowed: MachineCapacity[]): boolean {
    const zones = job.spec.oneZone ? [...new Set(allowed.map((d) => d.machine.zone))] : [null];
    const team = this.runtime.settings.teams.find((t) => t.name === job.spec.team);
    const rest = {
      cpus: job.spec.cpus * job.openTasks.count,
      gpus: job.spec.gpus * job.openTasks.count,
    };
    if (!team || !withinTeamQuota(team, this.teams.limitUse(team.name), { ...rest, memoryGb: 0 })) {
      return false;
    }
    return zones.some((zone) => {
      const inZone = allowed.filter((d) => zone === null || d.machine.zone === zone);
      const room = inZone.reduce((sum, d) => sum + taskSlots(resourcesOf(job.spec), d.free), 0);
      if (room < job.openTasks.count) return false;
      if (zone !== null) job.placement.gangZone = zone;
      return true;
    });
  }

  /** λ is over, or it may close early since standing volunteers are known. */
  private windowCloses(task: OpenTask): boolean {
    const open = this.runtime.now - task.windowOpenedAt;
    return (
      open >= Math.min(this.runtime.operator.window.closeEarly, this.runtime.operator.window.lambda)
    );
  }

  /** Without a fit the timers start again, and room may be made. */
  private noFit(search: Search, waiting: OpenTask[], cycle: SchedulingCycle): void {
    if (waiting.length === 0) return;
    const { job } = search;
    job.placement.starvedSince ??= this.runtime.now;
    for (const task of waiting) {
      if (this.runtime.now - task.windowOpenedAt >= this.runtime.operator.window.lambda)
        task.windowOpenedAt = this.runtime.now;
    }
    this.reservation.reserve(search, waiting.length, cycle);
  }
}
