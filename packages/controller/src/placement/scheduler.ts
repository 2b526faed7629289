import type { Duration, Instant, MachineType } from '@tealdock/wire';
import {
  NOTHING,
  compareJobs,
  fits,
  minus,
  need,
  plus,
  rank,
  slots,
  withinLimit,
  type Ranked,
  type Resources,
} from '@tealdock/scheduler';
import {
  ImageHolders,
  ImageRanks,
  Volunteers,
  demandOf,
  capacityOf,
  type MachineCapacity,
} from './machine-capacity.js';
import type { LiveJob, OpenTask } from '../jobs/live-job.js';
import type { Binding, Machine } from '../machines/machine.js';
import { SchedulingCycle } from './scheduling-cycle.js';
import { Preemption } from './preemption.js';
import type { Runtime } from '../runtime/runtime.js';
import { guaranteedJobs, nextDue } from './start-deadlines.js';
import { typeOf, type Term } from '../term/term.js';

const CYCLE_INTERVAL = 100;
const REBUILD_CYCLE_INTERVAL = 400;
/** What stopping a task and starting another in its place takes. */
const STOP_TIME = 4000;
/** How long before an aim, or after how long without room, a guarantee is reclaimed. */
const RECLAIM_AHEAD = 30_000;
const RECLAIM_PATIENCE = 60_000;
/** A job of which nothing has begun for this long goes before all others. */
const STARVING = 120_000;
/** So many of its tasks; the others take their turn. */
const FIRST_TASKS = 8;
/** Fetches run at their type's rate, give or take a third; a start takes a moment as well. */
const FETCH_SLACK = 4 / 3;
const START_TIME = 1000;
/** Room is scarce for so long after a task found none. */
const SCARCE_FOR = 10_000;
/** A fetch may take this many times as long as alone before its machine is no volunteer. */
const MOST_SLOWDOWN = 2;
/** Part of a fetch's time that a holder is waited for. */
const HOLDER_PART = 1 / 4;
const PREEMPTION_PLAN_INTERVAL = 500;

/** What the tasks of one job look for in a pass. */
interface Search {
  readonly job: LiveJob;
  readonly demand: string;
  readonly ranks: ImageRanks;
  holders: ImageHolders;
}

/**
 * The single placing leader. Each released task has a window; a machine whose
 * report showed room within it is a volunteer. Holders of the image go first,
 * then the first point of the front. Room is booked at once.
 */
export class Scheduler {
  /** Coming room that this pass keeps for a team's tasks. */
  private readonly reservedByTeam = new Map<string, Resources>();
  private lastCycle: Instant = -Infinity;
  /** When a task last found no room at all. */
  private lastFull: Instant = -Infinity;
  /** Jobs within their team's guarantee. */
  private inside: ReadonlySet<string> = new Set();
  /** Machines not accounted for may be full of any team's tasks. */
  private unaccounted: Resources = NOTHING;

  constructor(
    private readonly runtime: Runtime,
    private readonly term: Term,
    private readonly types: () => MachineType[],
    private readonly priceOf: (m: Machine, type: MachineType) => number,
    private readonly rentable: () => boolean,
    private readonly gathers: () => boolean,
  ) {}

  start(): void {
    this.runtime.every(CYCLE_INTERVAL, () => {
      if (!this.term.closed) this.runCycle();
      return !this.term.closed;
    });
  }

  private runCycle(): void {
    if (!this.term.loaded) return;
    // A thousand reports come first: until they are in, only new jobs can be placed.
    if (!this.term.ready && this.runtime.now - this.lastCycle < REBUILD_CYCLE_INTERVAL) return;
    this.lastCycle = this.runtime.now;
    this.term.liveJobs.graph.updateDemands();
    for (const job of this.term.jobs.values()) job.openWindows(this.runtime.now);
    if (!this.term.settled) return;
    this.rescue();
    this.reservedByTeam.clear();
    const jobs = this.waitingJobs();
    if (jobs.length === 0) return;
    this.unaccounted = this.sumUnaccounted();
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
    const ready = this.term.ready;
    const waiting = [...this.term.jobs.values()].filter(
      (job) =>
        job.open.size > 0 && job.backoffUntil <= this.runtime.now && this.term.mayPlace(job, ready),
    );
    if (waiting.length === 0) return waiting;
    this.inside = guaranteedJobs(this.term.jobs.values(), this.runtime.settings);
    const ranked = waiting.map((job) => ({ job, key: this.rankOf(job) }));
    return ranked.sort((a, b) => compareJobs(a.key, b.key)).map((r) => r.job);
  }

  private rankOf(job: LiveJob): Ranked {
    return {
      spec: job.spec,
      submitted: job.since,
      due: this.dueOf(job, this.inside.has(job.id)),
      guaranteed: this.belowGuarantee(job),
      starving: this.starves(job),
    };
  }

  private starves(job: LiveJob): boolean {
    const begun = job.doneCount > 0 || job.bound.size > 0;
    return !begun && this.runtime.now - job.since > STARVING;
  }

  private belowGuarantee(job: LiveJob): boolean {
    const team = this.runtime.settings.teams.find((t) => t.name === job.spec.team);
    if (!team) return false;
    const promised = this.reservedByTeam.get(team.name) ?? NOTHING;
    const after = plus(plus(this.term.ledger.teamUse(team.name), promised), need(job.spec));
    return after.cpus <= team.cpus && after.gpus <= team.gpus;
  }

  /** Machines whose reports are recent enough to count as volunteers. */
  private machines(): MachineCapacity[] {
    const recent = Math.max(
      this.runtime.operator.window.lambda,
      this.runtime.settings.reportEvery * 1.5,
    );
    const types = this.types();
    const machines: MachineCapacity[] = [];
    for (const machine of this.term.machines.values()) {
      const heard =
        machine.lastCounted !== null && this.runtime.now - machine.lastCounted <= recent;
      if (!heard || !machine.registered || machine.returning) continue;
      if (machine.noticeUntil !== null || machine.quarantinedUntil > this.runtime.now) continue;
      const type = typeOf(types, machine);
      if (type) machines.push(capacityOf(machine, type));
    }
    return machines;
  }

  private placeJob(job: LiveJob, cycle: SchedulingCycle): void {
    const closed = [...job.open.values()].filter((task) => this.windowCloses(task));
    const waiting = this.starves(job) ? closed.slice(0, FIRST_TASKS) : closed;
    const search = this.searchFor(job, cycle);
    if (cycle.full.has(search.demand)) return this.noFit(search, waiting, cycle);
    // The zone of an earlier window says nothing about this one.
    job.gangZone = null;
    if (job.spec.kind === 'gang' && !this.gangFits(job, cycle.candidatesNow(job))) return;
    this.placeTasks(search, waiting, cycle);
  }

  private placeTasks(search: Search, waiting: OpenTask[], cycle: SchedulingCycle): void {
    const { job, demand, ranks } = search;
    const rules = { ranks, priceOf: this.priceOf, gathers: this.gathers() };
    const sheltered = this.starves(job);
    let volunteers = new Volunteers(job, cycle.candidatesNow(job), rules);
    for (const [at, task] of waiting.entries()) {
      if (cycle.bookingLimitReached || !this.withinTeamLimit(job)) return;
      const chosen = volunteers.choose();
      if (!chosen) {
        this.lastFull = this.runtime.now;
        // Where there is room, other fetches are in the way: another job may use it.
        if (volunteers.tooSlow === 0) cycle.full.add(demand);
        return this.noFit(search, waiting.slice(at), cycle);
      }
      if (this.waitsForHolder(search, chosen, cycle)) continue;
      if (this.holderMayCome(search, chosen)) return;
      if (chosen.machine.images.has(job.spec.image)) job.holderWait = this.runtime.now;
      this.term.bindings.book(job, task.index, chosen.machine, sheltered);
      cycle.bookings++;
      job.starvedSince = null;
      volunteers.booked(chosen);
      if (!job.spec.oneZone && !job.spec.spread) continue;
      // Where the next task may go depends on where this one went.
      search.holders = new ImageHolders(job, cycle);
      volunteers = new Volunteers(job, cycle.candidatesNow(job), rules);
    }
  }

  private searchFor(job: LiveJob, cycle: SchedulingCycle): Search {
    // A gang is booked as a whole, and a job that nothing has begun of takes what there is.
    const any = job.spec.kind === 'gang' || this.starves(job);
    const shared = this.term.fetchSharing.shared;
    const limits = {
      slowdown: any ? Infinity : MOST_SLOWDOWN,
      patience: this.runtime.operator.window.lambda,
    };
    const ranks = new ImageRanks(job.spec, this.runtime.now, shared, limits);
    return { job, demand: demandOf(job), ranks, holders: new ImageHolders(job, cycle) };
  }

  /** A gang is booked only when one window fits all its tasks; nothing is held for part of it. */
  private gangFits(job: LiveJob, allowed: MachineCapacity[]): boolean {
    const zones = job.spec.oneZone ? [...new Set(allowed.map((d) => d.machine.zone))] : [null];
    const team = this.runtime.settings.teams.find((t) => t.name === job.spec.team);
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
    const open = this.runtime.now - task.opened;
    return (
      open >= Math.min(this.runtime.operator.window.closeEarly, this.runtime.operator.window.lambda)
    );
  }

  /** Without a fit the timers start again, and room may be made. */
  private noFit(search: Search, waiting: OpenTask[], cycle: SchedulingCycle): void {
    if (waiting.length === 0) return;
    const { job } = search;
    job.starvedSince ??= this.runtime.now;
    for (const task of waiting) {
      if (this.runtime.now - task.opened >= this.runtime.operator.window.lambda)
        task.opened = this.runtime.now;
    }
    this.reserveCapacity(search, waiting.length, cycle);
  }

  /** Keeps coming room for the tasks, and has more made where that is allowed. */
  private reserveCapacity(search: Search, tasks: number, cycle: SchedulingCycle): void {
    const { job, ranks } = search;
    const machines = cycle.candidatesSoon(job);
    let preemption: Preemption | null = null;
    const wanted = need(job.spec);
    const willDo = (d: MachineCapacity) => fits(wanted, d.freeAfterStops) && ranks.of(d) !== null;
    let at = 0;
    const nextMachine = () => {
      for (; at < machines.length; at++) {
        const machine = machines[at];
        if (machine && willDo(machine)) return machine;
      }
      return undefined;
    };
    for (let left = tasks; left > 0; left--) {
      const machine = nextMachine();
      if (machine) {
        this.promise(job, machine);
        continue;
      }
      if (!this.mayPreempt(job, preemption, cycle)) return;
      preemption ??= this.preemptionFor(search, cycle.everywhere(job), cycle);
      const made = preemption.freeOneSlot();
      if (!made) return;
      this.promise(job, made);
      preemption.planAgain(made);
    }
  }

  private mayPreempt(job: LiveJob, preemption: Preemption | null, cycle: SchedulingCycle): boolean {
    if (preemption) return true;
    if (!cycle.mayPlanPreemption || job.nextPreemptionPlan > this.runtime.now) return false;
    if (!cycle.hasLowerWork(job) && !(cycle.hasOtherTeams(job) && this.reclaims(job))) return false;
    const waited = this.runtime.now - (job.starvedSince ?? this.runtime.now);
    return !this.rentable() || waited >= this.patience(job);
  }

  private preemptionFor(
    { job, ranks }: Search,
    machines: MachineCapacity[],
    cycle: SchedulingCycle,
  ): Preemption {
    cycle.notePlan(machines.length);
    job.nextPreemptionPlan = this.runtime.now + PREEMPTION_PLAN_INTERVAL;
    const reclaims = this.reclaims(job);
    const guaranteed = () => reclaims && this.belowGuarantee(job);
    return new Preemption(this.runtime, this.term, job, guaranteed, machines, ranks);
  }

  /** Rented room is preferred to another task's while it can come in time. */
  private patience(job: LiveJob): number {
    if (rank(job.spec) >= 2) return 0;
    const boots = this.types().map((t) => t.boot);
    const boot = boots.length > 0 ? Math.min(...boots) : 0;
    return this.dueOf(job, this.inside.has(job.id)) - this.runtime.now < boot ? 0 : boot;
  }

  private dueOf(job: LiveJob, guaranteed: boolean): Instant {
    const ratio = this.term.ratios.get(job.spec.jobClass) ?? 1;
    return nextDue(job, ratio, guaranteed, this.runtime.settings, this.runtime.now);
  }

  private withinTeamLimit(job: LiveJob): boolean {
    const team = this.runtime.settings.teams.find((t) => t.name === job.spec.team);
    return !!team && withinLimit(team, this.limitUse(team.name), need(job.spec));
  }

  private limitUse(team: string): Resources {
    return plus(this.term.ledger.teamUse(team), this.unaccounted);
  }

  private sumUnaccounted(): Resources {
    let sum = NOTHING;
    for (const machine of this.term.unresolved()) {
      const type = typeOf(this.types(), machine);
      sum = plus(sum, type ?? { cpus: Infinity, gpus: Infinity, memoryGb: 0 });
    }
    return sum;
  }

  /**
   * A fetch would break the class's aim for starts, while a holder of the image
   * has or can be given room in time: then the task waits for the holder.
   */
  private waitsForHolder(search: Search, chosen: MachineCapacity, cycle: SchedulingCycle): boolean {
    const { job, holders } = search;
    if (chosen.machine.images.has(job.spec.image)) return false;
    const fetch = fetchTime(job.spec.imageGb, chosen.type);
    const left = this.aimFor(job) - (this.runtime.now - job.since);
    if (fetch < left || left < STOP_TIME) return false;
    const wanted = need(job.spec);
    const coming = () => holders.machines.find((d) => fits(wanted, d.freeAfterStops));
    if (!coming() && this.mayPreempt(job, null, cycle)) {
      this.preemptionFor(search, holders.machines, cycle).freeOneSlot();
    }
    const holder = coming();
    if (holder) this.promise(job, holder);
    return holder !== undefined;
  }

  /**
   * Room is scarce, and holders of the image are busy, but there are enough of them:
   * for a part of the time that a fetch takes, the next room on one of them is worth
   * waiting for. Work whose image the other machines hold gets their room meanwhile.
   */
  private holderMayCome({ job, holders }: Search, chosen: MachineCapacity): boolean {
    const { images, fetching } = chosen.machine;
    const { image, imageGb } = job.spec;
    if (images.has(image) || fetching.has(image)) return false;
    // With room to spare, a start that fetches takes nothing from others.
    if (this.runtime.now - this.lastFull > SCARCE_FOR) return false;
    job.holderWait ??= this.runtime.now;
    const fetch = fetchTime(imageGb, chosen.type);
    const window = Math.min(this.runtime.operator.window.lambda, fetch * HOLDER_PART);
    if (this.runtime.now - job.holderWait >= window) return false;
    if (this.dueOf(job, this.inside.has(job.id)) - this.runtime.now < fetch + window) return false;
    return holders.slots >= job.open.size;
  }

  /** Within what time tasks of the class should start. */
  private aimFor(job: LiveJob): number {
    let least = Infinity;
    for (const o of this.runtime.settings.objectives) {
      const own = o.kind === 'wait' && o.jobClass === job.spec.jobClass;
      if (own && o.within !== null) least = Math.min(least, o.within);
    }
    return least;
  }

  /** Keeps room that is coming for one task. */
  private promise(job: LiveJob, capacity: MachineCapacity): void {
    capacity.freeAfterStops = minus(capacity.freeAfterStops, need(job.spec));
    const promised = this.reservedByTeam.get(job.spec.team) ?? NOTHING;
    this.reservedByTeam.set(job.spec.team, plus(promised, need(job.spec)));
  }

  /**
   * Borrowed work that can't save loses all it did, and most room comes free by
   * itself: a guarantee is reclaimed only when an aim would be missed otherwise.
   */
  private reclaims(job: LiveJob): boolean {
    const due = this.dueOf(job, true);
    const starved = this.runtime.now - (job.starvedSince ?? this.runtime.now);
    return due - this.runtime.now < RECLAIM_AHEAD || starved > RECLAIM_PATIENCE;
  }

  // --- machines that are about to be taken -----------------------------------

  private rescue(): void {
    for (const machine of this.term.machines.values()) {
      if (machine.noticeUntil === null) continue;
      for (const b of machine.bindings.values()) this.rescueTask(machine, b);
    }
  }

  /** Saves while there is time; a task that can't save runs on if it may still finish. */
  private rescueTask(machine: Machine, b: Binding): void {
    const job = this.term.jobs.get(b.job);
    if (!job || b.stop || b.phase !== 'seen') return;
    const ran = this.runtime.now - (b.runningSince ?? this.runtime.now);
    const ratio = this.term.ratios.get(job.spec.jobClass) ?? 1;
    const left = job.spec.estimate * ratio - ran;
    const notice = (machine.noticeUntil ?? Infinity) - this.runtime.now;
    if (b.state === 'running' && left < notice) return;
    this.term.bindings.stop(b, { grace: job.spec.save, reason: 'notice' });
  }
}

/** Until when a task would run that has to wait for its image, at worst. */
function fetchTime(imageGb: number, type: MachineType): Duration {
  return (imageGb / Math.max(0.01, type.fetchGbPerS)) * 1000 * FETCH_SLACK + START_TIME;
}
