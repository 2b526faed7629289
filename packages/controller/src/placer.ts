import type { Instant, MachineType } from '@tealdock/wire';
import {
  NOTHING,
  bookedShare,
  cheapestPlan,
  choose,
  compareJobs,
  fits,
  minus,
  need,
  placeAllowed,
  plus,
  rank,
  slots,
  withinLimit,
  type Offer,
  type Ranked,
  type Resources,
  type Victim,
  type Volunteer,
} from '@tealdock/scheduler';
import type { LiveJob, OpenTask } from './live-job.js';
import type { Binding, Machine } from './machine.js';
import type { Runtime } from './runtime.js';
import { guaranteedJobs, nextDue } from './slack.js';
import { typeOf, type Term } from './term.js';

const PASS_EVERY = 100;
/** Room freed by a stop that takes longer than this is not waited for. */
const STOP_PATIENCE = 15_000;
/** What stopping a task and starting another in its place takes. */
const STOP_TIME = 4000;
/** A start that is stopped sooner than this was in vain for whoever waited for it. */
const FRESH_START = 30_000;
/** How long before an aim, or after how long without room, a guarantee is reclaimed. */
const RECLAIM_AHEAD = 30_000;
const RECLAIM_PATIENCE = 60_000;

/** Room on each machine while one pass goes on. */
interface Desk {
  machine: Machine;
  type: MachineType;
  free: Resources;
  /** Free once all that is being stopped is gone, less what higher work waits for. */
  coming: Resources;
}

/**
 * The single placing leader. Each released task has a window; a machine whose
 * report showed room within it is a volunteer. Holders of the image go first,
 * then the first point of the front. Room is booked at once.
 */
export class Placer {
  /** Coming room that this pass keeps for a team's tasks. */
  private readonly promised = new Map<string, Resources>();

  constructor(
    private readonly rt: Runtime,
    private readonly term: Term,
    private readonly types: () => MachineType[],
    private readonly priceOf: (m: Machine, type: MachineType) => number,
    private readonly rentable: () => boolean,
    private readonly gathers: () => boolean,
  ) {}

  start(): void {
    this.rt.every(PASS_EVERY, () => {
      if (!this.term.closed) this.pass();
      return !this.term.closed;
    });
  }

  private pass(): void {
    if (!this.term.loaded) return;
    for (const job of this.term.jobs.values()) job.release(this.rt.now);
    if (!this.term.settled) return;
    this.rescue();
    this.promised.clear();
    const jobs = this.waitingJobs();
    if (jobs.length === 0) return;
    const desks = this.desks();
    for (const job of jobs) this.placeJob(job, desks);
  }

  private waitingJobs(): LiveJob[] {
    const inside = guaranteedJobs(this.term.jobs.values(), this.rt.settings);
    const ranked = [...this.term.jobs.values()]
      .filter((job) => job.open.size > 0 && job.backoffUntil <= this.rt.now)
      .filter((job) => this.term.mayPlace(job))
      .map((job) => ({ job, key: this.rankOf(job, inside) }));
    return ranked.sort((a, b) => compareJobs(a.key, b.key)).map((r) => r.job);
  }

  private rankOf(job: LiveJob, inside: Set<string>): Ranked {
    const ratio = this.term.ratios.get(job.spec.jobClass) ?? 1;
    return {
      spec: job.spec,
      submitted: job.submitted,
      due: nextDue(job, ratio, inside.has(job.id), this.rt.settings, this.rt.now),
      guaranteed: this.belowGuarantee(job),
    };
  }

  private belowGuarantee(job: LiveJob): boolean {
    const team = this.rt.settings.teams.find((t) => t.name === job.spec.team);
    if (!team) return false;
    const promised = this.promised.get(team.name) ?? NOTHING;
    const after = plus(plus(this.term.teamUse(team.name), promised), need(job.spec));
    return after.cpus <= team.cpus && after.gpus <= team.gpus;
  }

  /** Machines whose reports are recent enough to count as volunteers. */
  private desks(): Desk[] {
    const recent = Math.max(this.rt.operator.window.lambda, this.rt.settings.reportEvery * 1.5);
    const desks: Desk[] = [];
    for (const m of this.term.machines.values()) {
      const type = typeOf(this.types(), m);
      const heard = m.lastCounted !== null && this.rt.now - m.lastCounted <= recent;
      if (!type || !heard || !m.inRoster || m.returning) continue;
      if (m.noticeUntil !== null || m.asideUntil > this.rt.now) continue;
      const free = m.free(type);
      desks.push({ machine: m, type, free, coming: plus(free, this.stopping(m)) });
    }
    return desks;
  }

  private stopping(m: Machine): Resources {
    let sum: Resources = { cpus: 0, gpus: 0, memoryGb: 0 };
    for (const b of m.bindings.values()) {
      if (b.stop && this.rt.now - m.lastCounted! < STOP_PATIENCE) sum = plus(sum, b.size);
    }
    return sum;
  }

  private placeJob(job: LiveJob, desks: Desk[]): void {
    if (job.spec.kind === 'gang' && !this.gangFits(job, desks)) return;
    for (const task of [...job.open.values()]) {
      if (!this.windowCloses(task)) continue;
      if (!this.withinTeamLimit(job)) return;
      const allowed = this.allowedDesks(job, desks);
      const chosen = this.volunteerFor(job, allowed);
      if (!chosen) {
        this.noFit(job, task, allowed);
        if (!this.reserve(job, allowed)) return;
        continue;
      }
      if (this.waitsForHolder(job, chosen, allowed)) continue;
      this.term.book(job, task.index, chosen.machine);
      job.starvedSince = null;
      chosen.free = minus(chosen.free, need(job.spec));
      chosen.coming = minus(chosen.coming, need(job.spec));
    }
  }

  /** A gang is booked only when one window fits all its tasks; nothing is held for part of it. */
  private gangFits(job: LiveJob, desks: Desk[]): boolean {
    job.gangZone = null;
    const allowed = this.allowedDesks(job, desks);
    const zones = job.spec.oneZone ? [...new Set(allowed.map((d) => d.machine.zone))] : [null];
    const team = this.rt.settings.teams.find((t) => t.name === job.spec.team);
    const rest = { cpus: job.spec.cpus * job.open.size, gpus: job.spec.gpus * job.open.size };
    if (!team || !withinLimit(team, this.limitUse(team.name), { ...rest, memoryGb: 0 })) {
      return false;
    }
    return zones.some((zone) => {
      const inZone = allowed.filter((d) => zone === null || d.machine.zone === zone);
      const room = inZone.reduce((sum, d) => sum + slots(need(job.spec), d.free), 0);
      if (room < job.open.size) return false;
      if (zone !== null) job.gangZone = zone;
      return true;
    });
  }

  /** λ is over, or it may close early since standing volunteers are known. */
  private windowCloses(task: OpenTask): boolean {
    const open = this.rt.now - task.opened;
    return open >= Math.min(this.rt.operator.window.closeEarly, this.rt.operator.window.lambda);
  }

  /** Without a fit the timer starts again. */
  private noFit(job: LiveJob, task: OpenTask, desks: Desk[]): void {
    job.starvedSince ??= this.rt.now;
    if (this.rt.now - task.opened >= this.rt.operator.window.lambda) task.opened = this.rt.now;
    const waited = this.rt.now - job.starvedSince;
    if (this.rentable() && waited < this.patience(job)) return;
    this.makeRoom(job, desks);
  }

  /** Rented room is preferred to another task's while it can come in time. */
  private patience(job: LiveJob): number {
    if (rank(job.spec) >= 2) return 0;
    const boots = this.types().map((t) => t.boot);
    return boots.length > 0 ? Math.min(...boots) : 0;
  }

  private withinTeamLimit(job: LiveJob): boolean {
    const team = this.rt.settings.teams.find((t) => t.name === job.spec.team);
    return !!team && withinLimit(team, this.limitUse(team.name), need(job.spec));
  }

  /** What counts against a limit: machines not accounted for may be full of the team's tasks. */
  private limitUse(team: string): Resources {
    let sum = this.term.teamUse(team);
    for (const m of this.term.unresolved()) {
      const type = typeOf(this.types(), m);
      sum = plus(sum, type ?? { cpus: Infinity, gpus: Infinity, memoryGb: 0 });
    }
    return sum;
  }

  private allowedDesks(job: LiveJob, desks: Desk[]): Desk[] {
    const zones = this.term.zonesOf(job);
    const wanted = job.bound.size > 0 ? null : job.gangZone;
    return desks.filter(
      (d) =>
        placeAllowed(job.spec, d.machine, zones) && (wanted === null || d.machine.zone === wanted),
    );
  }

  private volunteerFor(job: LiveJob, desks: Desk[]): Desk | undefined {
    const able = desks.filter((d) => fits(need(job.spec), d.free));
    const volunteers = able.map((d): Volunteer & { desk: Desk } => ({
      desk: d,
      machine: d.machine.id,
      load: bookedShare(d.type, d.free),
      price: this.priceOf(d.machine, d.type),
      recent: d.machine.recent / Math.max(1, d.type.cpus),
      imageRank: this.imageRank(job.spec.image, d.machine),
    }));
    // The fullest first: among equals of the front, work gathers and other machines fall idle.
    if (this.gathers()) volunteers.sort((a, b) => b.load - a.load);
    const chosen = choose(volunteers);
    return able.find((d) => d.machine.id === chosen?.machine);
  }

  private imageRank(image: string, m: Machine): number {
    if (m.images.has(image)) return 0;
    const fetched = this.term.fetching(m);
    if (fetched.has(image)) return 1;
    return fetched.size === 0 ? 2 : 3;
  }

  /**
   * A fetch would break the class's aim for starts, while a holder of the image
   * has or can be given room in time: then the task waits for the holder.
   */
  private waitsForHolder(job: LiveJob, chosen: Desk, desks: Desk[]): boolean {
    if (chosen.machine.images.has(job.spec.image)) return false;
    const fetch = (job.spec.imageGb / Math.max(0.01, chosen.type.fetchGbPerS)) * 1000;
    const left = this.aimFor(job) - (this.rt.now - job.submitted);
    if (fetch < left || left < STOP_TIME) return false;
    const holders = desks.filter((d) => d.machine.images.has(job.spec.image));
    this.makeRoom(job, holders);
    return this.reserve(job, holders);
  }

  /** Within what time tasks of the class should start. */
  private aimFor(job: LiveJob): number {
    const aims = this.rt.settings.objectives.filter(
      (o) => o.kind === 'wait' && o.jobClass === job.spec.jobClass && o.within !== null,
    );
    return Math.min(Infinity, ...aims.map((o) => o.within!));
  }

  /** Keeps room that is coming for this task; false when no machine will have any. */
  private reserve(job: LiveJob, desks: Desk[]): boolean {
    const desk = desks.find((d) => fits(need(job.spec), d.coming));
    if (!desk) return false;
    desk.coming = minus(desk.coming, need(job.spec));
    const promised = this.promised.get(job.spec.team) ?? NOTHING;
    this.promised.set(job.spec.team, plus(promised, need(job.spec)));
    return true;
  }

  // --- making room -----------------------------------------------------------

  private makeRoom(job: LiveJob, desks: Desk[]): void {
    if (desks.some((d) => fits(need(job.spec), d.coming))) return;
    const guaranteed = this.belowGuarantee(job) && this.reclaims(job);
    const offers = desks.map((d): Offer => ({
      machine: d.machine.id,
      free: d.coming,
      victims: this.victims(d.machine, job, guaranteed),
    }));
    const plan = cheapestPlan(offers, need(job.spec));
    if (!plan) return;
    const desk = desks.find((d) => d.machine.id === plan.machine)!;
    for (const victim of plan.victims) this.stopVictim(desk, victim, job);
  }

  /**
   * Borrowed work that can't save loses all it did, and most room comes free by
   * itself: a guarantee is reclaimed only when an aim would be missed otherwise.
   */
  private reclaims(job: LiveJob): boolean {
    const ratio = this.term.ratios.get(job.spec.jobClass) ?? 1;
    const due = nextDue(job, ratio, true, this.rt.settings, this.rt.now);
    const starved = this.rt.now - (job.starvedSince ?? this.rt.now);
    return due - this.rt.now < RECLAIM_AHEAD || starved > RECLAIM_PATIENCE;
  }

  private stopVictim(desk: Desk, victim: Victim, job: LiveJob): void {
    const b = [...desk.machine.bindings.values()].find((x) => x.task === victim.task && !x.stop);
    if (!b) return;
    const reason = `room for ${job.id}`;
    b.stop = { grace: this.term.jobs.get(b.job)?.spec.save ?? 0, reason };
    desk.coming = plus(desk.coming, victim.size);
    this.rt.env.log('debug', { task: b.task, machine: b.machine, reason }, 'preempting');
  }

  private victims(m: Machine, job: LiveJob, guaranteed: boolean): Victim[] {
    const victims: Victim[] = [];
    for (const b of m.bindings.values()) {
      const other = this.term.jobs.get(b.job);
      if (!other || b.stop || b.phase !== 'seen') continue;
      if (this.mayStop(other, job, guaranteed))
        victims.push({ task: b.task, size: b.size, lost: lost(b, other, this.rt.now) });
    }
    return victims;
  }

  /**
   * Within a team priority decides. Work inside another team's guarantee gives
   * way only to higher work that is inside its own: were it stopped for borrowed
   * work, its team would reclaim the room at once, and so on without end.
   */
  private mayStop(other: LiveJob, job: LiveJob, guaranteed: boolean): boolean {
    const lower = rank(other.spec) < rank(job.spec);
    if (other.spec.team === job.spec.team) return lower;
    return this.borrows(other, job) ? lower || guaranteed : lower && guaranteed;
  }

  /**
   * The other team uses so much beyond its guarantee that it stays at it without
   * what the task needs. Were less enough, it would reclaim the rest at once.
   */
  private borrows(other: LiveJob, job: LiveJob): boolean {
    const team = this.rt.settings.teams.find((t) => t.name === other.spec.team);
    if (!team) return false;
    const left = minus(this.term.teamUse(team.name, true), need(job.spec));
    return left.cpus >= team.cpus && left.gpus >= team.gpus;
  }

  // --- machines that are about to be taken -----------------------------------

  private rescue(): void {
    for (const m of this.term.machines.values()) {
      if (m.noticeUntil === null) continue;
      for (const b of m.bindings.values()) this.rescueTask(m, b);
    }
  }

  /** Saves while there is time; a task that can't save runs on if it may still finish. */
  private rescueTask(m: Machine, b: Binding): void {
    const job = this.term.jobs.get(b.job);
    if (!job || b.stop || b.phase !== 'seen') return;
    const ran = this.rt.now - (b.runningSince ?? this.rt.now);
    const ratio = this.term.ratios.get(job.spec.jobClass) ?? 1;
    const left = job.spec.estimate * ratio - ran;
    const notice = m.noticeUntil! - this.rt.now;
    if (b.state === 'running' && left < notice) return;
    b.stop = { grace: job.spec.save, reason: 'notice' };
  }
}

/** Work lost if the task is stopped now; one that saves loses only what stopping takes. */
function lost(b: Binding, job: LiveJob, now: Instant): number {
  const ran = b.runningSince === null || b.state === 'fetching' ? 0 : now - b.runningSince;
  const fresh = ran < FRESH_START ? FRESH_START : 0;
  return fresh + (job.spec.checkpoint > 0 ? job.spec.save : ran);
}
