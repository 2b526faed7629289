import {
  splitTaskId,
  taskId,
  type Duration,
  type Instant,
  type JobSpec,
  type MachineType,
  type Order,
  type StateEvent,
  type StateItem,
  type TaskReport,
  type WorkerReport,
} from '@tealdock/wire';
import { NOTHING, fits, least, need, type Place, type Resources } from '@tealdock/scheduler';
import {
  LIVE_PREFIX,
  PROGRESS_PREFIX,
  REGISTRY_PREFIX,
  endedKey,
  readLive,
  splitLiveKey,
  splitProgressEntry,
  type EndedValue,
  type RegistryEntry,
} from '../state/keys.js';
import { FetchSharing } from '../machines/image-fetches.js';
import { DependencyGraph, type JobEnd } from '../jobs/dependency-graph.js';
import type { Leadership } from '../leadership/leadership.js';
import { UsageLedger } from '../machines/usage-ledger.js';
import { LiveJob } from '../jobs/live-job.js';
import { Machine, bindingKey, type Binding, type StopWish } from '../machines/machine.js';
import { maxStaleness } from '../leadership/freshness.js';
import { ShardedTable } from '../state/sharded-table.js';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import { LeaseExpiry } from '../machines/lease-expiry.js';
import type { StateStore } from '../state/state-store.js';
import { WriteShare } from '../state/write-share.js';
import { BoundedSet } from '../runtime/bounded.js';

const RETRY = 400;
/** Short, since the send of an answered watch is how far this term surely knows the news. */
const WATCH_HOLD = 1000;
/** A start leaves only while the news is at most this old. */
const MAX_STALENESS_OF_STARTS = 2000;
/** Attempts of one term to one task; their numbers never meet another term's. */
const ATTEMPTS_A_TERM = 65_536;
/** A booking that the machine does not come for is given to another one. */
const BOOKING_PATIENCE = 1.8;
const MACHINE_FAILURES = 3;
const QUARANTINE = 120_000;
const MOST_GONE = 5000;
/** Machines that join within this time share a commit. */
const JOIN_GATHER = 150;
/** How long a machine is put aside whose start never showed up; fourfold each time. */
const LOST_START_QUARANTINE = 3000;

/** A worker learns the token from the first answer that it hears. */
const DEAF_PATIENCE = 8000;

/** What came of a report. */
interface Taken {
  /** False for a report that is late, or made under another token. */
  counted: boolean;
  /** False if it must not get the answer that renews its lease. */
  answered: boolean;
  orders: Order[];
}
const IGNORED: Taken = { counted: false, answered: true, orders: [] };
const UNANSWERED: Taken = { ...IGNORED, answered: false };

/**
 * What one term of leadership knows: live jobs, machines and which task is bound
 * to which machine. It is rebuilt from the state service and from reports that
 * carry this term's token; a binding ends only on proof (docs/safety.md).
 */
export class Term {
  readonly jobs = new Map<string, LiveJob>();
  readonly machines = new Map<string, Machine>();
  readonly acquired: Instant;
  lastReport: Instant;
  loaded = false;
  closed = false;
  /** Learnt ratio of actual to estimated run time, by class. */
  readonly ratios = new Map<string, number>();
  /** Images that a machine held by the word of the last leader. */
  readonly heldBefore = new Map<string, { image: string; gb: number }[]>();
  /** Keys below the live jobs that belong to none. */
  readonly strayKeys: string[] = [];
  readonly ledger = new UsageLedger();
  readonly fetchSharing = new FetchSharing();
  readonly leaseExpiry: LeaseExpiry;
  readonly graph: DependencyGraph;
  private readonly writeShare: WriteShare;
  readonly registry: ShardedTable<RegistryEntry>;
  readonly progress: ShardedTable<string>;
  /** Machines whose held answer may have got orders. */
  readonly dirtyMachines = new Set<string>();
  /** Less than this is asked for by no task of a live job. */
  private smallest: Resources = NOTHING;
  private wasReady = false;
  private readonly gone = new BoundedSet<string>(MOST_GONE);
  /** Jobs that have ended. News of their submission may still be on its way. */
  private readonly over = new BoundedSet<string>(MOST_GONE);
  /** Every cancellation committed before this is known here. */
  private cancellationsKnownTo: Instant = -Infinity;
  private readonly lookups = new Map<string, Binding[]>();

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly leadership: Leadership,
    readonly fencingToken: number,
  ) {
    this.acquired = runtime.now;
    this.lastReport = runtime.now;
    this.leaseExpiry = new LeaseExpiry(runtime, state, this, (silent) => this.endExpired(silent));
    this.graph = new DependencyGraph(runtime, state, this);
    this.writeShare = new WriteShare(runtime, () => !this.closed);
    this.registry = new ShardedTable(runtime, state, leadership, REGISTRY_PREFIX, {
      gather: JOIN_GATHER,
      lazy: false,
      stored: (entries) => this.enrolled(entries),
    });
    this.progress = new ShardedTable(runtime, state, leadership, PROGRESS_PREFIX, {
      gather: 0,
      lazy: true,
      stored: (entries) => this.progressStored(entries),
    });
  }

  /**
   * Until when answers may renew leases: what was cancelled before `knownTo` is killed by
   * them, and what was cancelled since is so recent that leases end in time (safety.md).
   */
  get freshUntil(): Instant {
    return this.cancellationsKnownTo + maxStaleness(this.runtime.settings);
  }

  /** Each machine of the roster is accounted for. */
  get ready(): boolean {
    return this.settled && this.unresolved().length === 0;
  }

  /** Everything that reports have shown so far is known by size and team. */
  get settled(): boolean {
    return this.loaded && this.lookups.size === 0;
  }

  unresolved(): Machine[] {
    const open: Machine[] = [];
    for (const m of this.machines.values()) if (!m.resolved) open.push(m);
    return open;
  }

  /**
   * Placing waits until the roster is accounted for. A job that was committed, or of which a
   * predecessor ended, after this term's token is an exception: no older term can have
   * started any of it (docs/safety.md, Rebuild).
   */
  mayPlace(job: LiveJob, ready: boolean): boolean {
    return ready || (this.settled && job.startableSince > this.fencingToken);
  }

  start(): void {
    this.load();
    this.writeShare.start();
    this.runtime.every(1000, () => {
      if (!this.closed) this.sweep();
      return !this.closed;
    });
  }

  close(): void {
    this.closed = true;
    this.registry.close();
    this.progress.close();
  }

  // --- rebuild ---------------------------------------------------------------

  private load(): void {
    if (this.closed) return;
    const retry = () => this.runtime.after(RETRY, () => this.load());
    this.readTables((roster, progress) => {
      if (!roster || !progress) return retry();
      const asked = this.runtime.now;
      this.state.readAll(LIVE_PREFIX, PRIORITY.leader, (live) => {
        if (!live) return retry();
        if (this.closed) return;
        this.cancellationsKnownTo = asked;
        for (const [id, entry] of this.registry.load(roster)) this.loadMachine(id, entry);
        this.loadJobs(live.items);
        for (const job of this.jobs.values()) this.graph.readEnds(job);
        this.progressStored(this.progress.load(progress));
        this.finishLoad(live.revision);
      });
    });
  }

  private readTables(
    done: (roster: StateItem[] | null, progress: StateItem[] | null) => void,
  ): void {
    this.state.readAll(REGISTRY_PREFIX, PRIORITY.leader, (roster) => {
      if (!roster) return done(null, null);
      this.state.readAll(PROGRESS_PREFIX, PRIORITY.leader, (progress) =>
        done(roster.items, progress?.items ?? null),
      );
    });
  }

  private finishLoad(revision: number): void {
    this.loaded = true;
    this.runtime.stats.record('takeover.load_ms', this.runtime.now - this.acquired);
    this.runtime.env.log(
      'info',
      { token: this.fencingToken, jobs: this.jobs.size, machines: this.machines.size },
      'term loaded',
    );
    this.watch(revision);
  }

  private loadMachine(id: string, [type, zone, spot, returning, since]: RegistryEntry): void {
    const m = this.machines.get(id) ?? this.newMachine(id, { type, zone, spot: spot === 1 });
    m.registered = true;
    m.returning = m.returnCommitted = returning === 1;
    m.since = this.runtime.now - Math.max(0, this.runtime.today.getTime() - since * 1000);
    m.resolved = m.lastCounted !== null;
    this.machines.set(id, m);
  }

  private loadJobs(items: StateItem[]): void {
    for (const item of items) {
      const at = splitLiveKey(item.key);
      if (at?.rest === 'spec') this.addJob(at.job, item.value, item.version);
      else this.strayKeys.push(item.key);
    }
  }

  /** What the progress table says is done; entries of jobs that have ended are dropped. */
  private progressStored(entries: [string, string][]): void {
    for (const [entry, bits] of entries) {
      const at = splitProgressEntry(entry);
      const job = this.jobs.get(at.job);
      if (job) job.noteStored(at.chunk, bits);
      else this.progress.delete(entry);
    }
  }

  private addJob(id: string, stored: unknown, version: number): void {
    if (this.jobs.has(id) || this.over.has(id)) return;
    const value = readLive(stored);
    if (!value) return this.runtime.env.log('error', { job: id }, 'stored job can not be read');
    const age = Math.max(0, this.runtime.today.getTime() - value.submitted);
    const job = new LiveJob(value.spec, version, this.runtime.now - age);
    this.jobs.set(id, job);
    this.graph.add(job);
    if (this.loaded) this.graph.readEnds(job);
    const { jobClass, taskCount, image, imageGb } = value.spec;
    this.runtime.env.log(
      'debug',
      { job: id, jobClass, tasks: taskCount, image, imageGb },
      'job live',
    );
  }

  // --- news of jobs ----------------------------------------------------------

  private watch(revision: number): void {
    if (this.closed) return;
    const asked = this.runtime.now;
    this.state.watch(LIVE_PREFIX, revision, WATCH_HOLD, (watched) => {
      if (this.closed) return;
      if (watched.kind === 'failed') return this.runtime.after(RETRY, () => this.watch(revision));
      if (watched.kind === 'too_old') return this.reread();
      this.cancellationsKnownTo = asked;
      for (const event of watched.events) this.jobEvent(event);
      this.watch(watched.revision);
    });
  }

  /** The watch fell too far behind: compare with everything that is live now. */
  private reread(): void {
    if (this.closed) return;
    const asked = this.runtime.now;
    this.state.readAll(LIVE_PREFIX, PRIORITY.leader, (live) => {
      if (this.closed) return;
      if (!live) return this.runtime.after(RETRY, () => this.reread());
      this.cancellationsKnownTo = asked;
      const specs = live.items.filter((i) => i.key.endsWith('/spec'));
      const alive = new Set(specs.map((i) => splitLiveKey(i.key)?.job));
      for (const id of [...this.jobs.keys()]) if (!alive.has(id)) this.endJob(id);
      for (const i of specs) this.addJob(splitLiveKey(i.key)!.job, i.value, i.version);
      this.watch(live.revision);
    });
  }

  private jobEvent(event: StateEvent): void {
    const at = splitLiveKey(event.key);
    if (at?.rest !== 'spec') return;
    const known = this.jobs.get(at.job);
    // A job that this leader ends is removed by its own commit.
    const byOthers = !event.removed || (known && !known.complete && !known.predecessorCancelled);
    if (byOthers) this.writeShare.note(event);
    if (event.removed) this.endJob(at.job);
    else this.addJob(at.job, event.value, event.version);
  }

  /** The node that committed a cancellation says so, sooner than the watch or without it. */
  cancelled(id: string): void {
    this.over.add(id);
    this.endJob(id);
  }

  /** A job that is no longer live: by its own end, or cancelled on any node. */
  endJob(id: string, end: JobEnd | null = null): void {
    const job = this.jobs.get(id);
    if (!job) return;
    this.jobs.delete(id);
    this.over.add(id);
    this.runtime.env.log('info', { job: id, done: job.doneCount }, 'job ended');
    for (const b of job.bound.values()) this.discard(b, 'job ended');
    this.graph.ended(job, end);
  }

  /** Its job has ended, for good: known from an event, by word, or from a read of its end. */
  isOver(binding: Binding): boolean {
    return this.over.has(binding.job);
  }

  /** No longer wanted: an unsent booking goes at once, anything else is killed and counted. */
  private discard(binding: Binding, reason: string): void {
    if (binding.phase === 'booked') return this.unbind(binding);
    binding.foreign = true;
    this.stop(binding, { grace: 0, reason });
  }

  /** Has a task stopped by the next answer to its machine. */
  stop(binding: Binding, wish: StopWish): void {
    this.ledger.change(binding, () => (binding.stop = wish));
    this.machines.get(binding.machine)?.touch();
    this.dirtyMachines.add(binding.machine);
  }

  // --- reports ---------------------------------------------------------------

  /** Takes in a report; its answer may carry the orders. */
  report(report: WorkerReport): Taken {
    if (this.gone.has(report.machine)) return IGNORED;
    const m = this.machineOf(report);
    if (this.deafToTerm(m, report)) return UNANSWERED;
    // Its lease is renewed by the answer, whatever the report is worth otherwise.
    m.lastHeard = this.runtime.now;
    // Tasks of a report sent before the worker saw this token may be outdated by
    // a start of the term before; a late report is outdated by a newer one.
    if (report.token !== this.fencingToken || !m.isNews(report)) return IGNORED;
    this.absorb(report);
    return { counted: true, answered: true, orders: this.ordersFor(m) };
  }

  /**
   * Its reports go on under an older token although they were answered under ours: it
   * hears nothing. Each answer would make its lease look renewed, and the whole roster
   * would wait for it for as long as it is deaf. Without answers its lease surely ends.
   */
  private deafToTerm(m: Machine, report: WorkerReport): boolean {
    if (m.resolved || report.token === this.fencingToken) return false;
    m.answeredFrom ??= this.runtime.now;
    return this.runtime.now - m.answeredFrom > DEAF_PATIENCE;
  }

  private machineOf(report: WorkerReport): Machine {
    let m = this.machines.get(report.machine);
    if (!m) {
      m = this.newMachine(report.machine, report);
      // Not in the roster, so no term has ever sent a start to it.
      m.resolved = true;
      this.machines.set(m.id, m);
    }
    m.since = Math.min(m.since, this.runtime.now);
    return m;
  }

  private newMachine(id: string, place: Place): Machine {
    const m = new Machine(id, place.type, place.zone, place.spot);
    for (const { image, gb } of this.heldBefore.get(id) ?? []) m.noteImage(image, gb);
    return m;
  }

  private absorb(report: WorkerReport): void {
    const m = this.machineOf(report);
    if (report.session > m.session) this.endAll(m, 'session ended');
    m.session = report.session;
    m.seq = report.seq;
    m.addr = report.addr;
    m.lastHeard ??= this.runtime.now;
    m.lastCounted = this.runtime.now;
    m.noticeUntil = report.notice === null ? null : this.runtime.now + report.notice;
    m.resolved = true;
    m.exited = report.tasks.filter((t) => t.state === 'exited');
    for (const t of report.tasks) this.absorbTask(m, t);
    this.endMissing(m, report);
    this.join(m);
  }

  private endMissing(m: Machine, report: WorkerReport): void {
    const listed = new Set(report.tasks.map((t) => bindingKey(t.task, t.attempt)));
    let lost = false;
    for (const [key, b] of [...m.bindings]) {
      if (b.phase === 'booked' || listed.has(key)) continue;
      lost ||= b.phase === 'sent';
      this.end(b, 'not on the machine');
    }
    if (lost) this.noteLostStart(m);
  }

  /**
   * Reports of a machine may arrive while no answer reaches it. It then looks idle,
   * the best of volunteers, and would eat start after start.
   */
  private noteLostStart(m: Machine): void {
    const quarantine = Math.min(QUARANTINE, LOST_START_QUARANTINE * 4 ** m.lostStarts++);
    m.quarantinedUntil = Math.max(m.quarantinedUntil, this.runtime.now + quarantine);
    this.runtime.env.log(
      'info',
      { machine: m.id, lostStarts: m.lostStarts, aside: quarantine },
      'start was lost',
    );
    this.unbookAll(m);
  }

  private absorbTask(m: Machine, t: TaskReport): void {
    const bound = m.bindings.get(bindingKey(t.task, t.attempt));
    if (t.state === 'exited') return this.absorbExit(m, t, bound);
    const b = bound ?? this.adopt(m, t);
    if (b.phase === 'seen' && b.state === t.state) return;
    m.lostStarts = 0;
    b.phase = 'seen';
    if (t.state !== 'fetching') this.noteStart(m, b);
    else if (this.jobs.get(b.job)?.spec.kind === 'array') m.noteMissing(b, this.runtime.now);
    b.state = t.state;
    m.touch();
  }

  private noteStart(m: Machine, b: Binding): void {
    if (b.image !== null) this.noteImage(m, b.image, b.imageGb);
    if (b.runningSince !== null) return;
    b.runningSince = this.runtime.now;
    if (b.phase === 'seen' && b.sentSeq > 0) {
      this.runtime.stats.record('starts.booked_to_running_ms', this.runtime.now - b.bookedAt);
    }
    this.runtime.env.log('debug', { task: b.task, machine: m.id }, 'task runs');
  }

  private noteImage(m: Machine, image: string, gb: number): void {
    const fetch = m.fetches.end(image, this.runtime.now);
    if (fetch) this.fetchSharing.note(fetch);
    m.noteImage(image, gb);
  }

  private absorbExit(m: Machine, t: TaskReport, bound: Binding | undefined): void {
    const at = splitTaskId(t.task);
    const job = at ? this.jobs.get(at.job) : undefined;
    if (bound) this.endExited(m, bound, t);
    if (!job || !at || at.index >= job.spec.taskCount || t.reason !== 'done') return;
    job.markDone(at.index);
    const other = job.bound.get(at.index);
    if (other) this.discard(other, 'done elsewhere');
  }

  private endExited(m: Machine, b: Binding, t: TaskReport): void {
    const job = b.foreign ? undefined : this.jobs.get(b.job);
    if (t.reason === 'done') {
      m.failures = 0;
      if (job) this.learn(job, b);
    } else if (t.reason === 'error' || t.reason === 'unknown') {
      this.noteFailure(m, job, t);
    }
    if (job && t.reason === 'done') job.markDone(b.index);
    this.end(b, t.reason ?? 'exited');
  }

  private learn(job: LiveJob, b: Binding): void {
    job.failures = 0;
    if (b.runningSince === null || job.spec.estimate <= 0) return;
    const ratio = (this.runtime.now - b.runningSince) / job.spec.estimate;
    const known = this.ratios.get(job.spec.jobClass) ?? 1;
    this.ratios.set(job.spec.jobClass, known * 0.9 + Math.min(ratio, 10) * 0.1);
  }

  /** Mostly the machine is at fault; a job with a mistake fails on every machine. */
  private noteFailure(m: Machine, job: LiveJob | undefined, t: TaskReport): void {
    this.runtime.env.log('info', { machine: m.id, task: t.task, reason: t.reason }, 'task failed');
    if (t.reason === 'error' && (job?.failures ?? 0) < MACHINE_FAILURES) m.failures++;
    if (m.failures >= MACHINE_FAILURES) m.quarantinedUntil = this.runtime.now + QUARANTINE;
    if (!job) return;
    job.failures++;
    if (job.failures < MACHINE_FAILURES) return;
    job.backoffUntil =
      this.runtime.now + Math.min(60_000, 1000 * 2 ** (job.failures - MACHINE_FAILURES));
  }

  /** A task found on a machine without a binding of this term. */
  private adopt(m: Machine, t: TaskReport): Binding {
    const at = splitTaskId(t.task);
    const job = at ? this.jobs.get(at.job) : undefined;
    const wanted =
      job !== undefined &&
      at !== null &&
      at.index < job.spec.taskCount &&
      !job.isDone(at.index) &&
      !job.bound.has(at.index);
    const b: Binding = {
      task: t.task,
      job: at?.job ?? t.task,
      index: at?.index ?? 0,
      attempt: t.attempt,
      machine: m.id,
      team: job?.spec.team ?? '',
      size: job ? need(job.spec) : NOTHING,
      image: job?.spec.image ?? null,
      imageGb: job?.spec.imageGb ?? 0,
      phase: 'seen',
      bookedAt: this.runtime.now,
      sentSession: 0,
      sentSeq: 0,
      state: null,
      runningSince: null,
      stop: wanted ? null : { grace: 0, reason: 'not wanted' },
      sheltered: false,
      foreign: !wanted,
    };
    this.bind(m, b);
    if (wanted) {
      job.bound.set(b.index, b);
      job.open.delete(b.index);
    }
    if (!job) this.lookUp(b);
    return b;
  }

  /** What an ended job's task takes has to be known before anything is placed. */
  private lookUp(b: Binding): void {
    const asked = this.lookups.get(b.job);
    if (asked) return void asked.push(b);
    this.lookups.set(b.job, [b]);
    this.askFor(b.job);
  }

  private askFor(job: string): void {
    this.state.get(endedKey(job), PRIORITY.leader, (got) => {
      if (this.closed) return;
      if (got.kind === 'failed') return this.runtime.after(RETRY, () => this.askFor(job));
      const bindings = this.lookups.get(job) ?? [];
      this.lookups.delete(job);
      if (got.kind === 'found') {
        this.over.add(job);
        this.fill(bindings, (got.item.value as EndedValue).spec);
      }
      if (this.settled) this.markBookedDirty();
    });
  }

  private fill(bindings: Binding[], spec: JobSpec): void {
    for (const b of bindings) {
      const m = this.machines.get(b.machine);
      if (m?.bindings.get(bindingKey(b.task, b.attempt)) !== b) continue;
      this.ledger.change(b, () => {
        b.team = spec.team;
        b.size = need(spec);
      });
      m.touch();
    }
  }

  /** Starts that had to wait may leave now. */
  private markBookedDirty(): void {
    for (const m of this.machines.values())
      if (this.awaitsOrders(m.id)) this.dirtyMachines.add(m.id);
  }

  /** True while something is booked there that no answer has carried yet. */
  awaitsOrders(machine: string): boolean {
    const m = this.machines.get(machine);
    if (m) for (const b of m.bindings.values()) if (b.phase === 'booked') return true;
    return false;
  }

  /** True if an answer to the machine's newest report would carry orders by now. */
  hasOrders(machine: string): boolean {
    const m = this.machines.get(machine);
    if (!m) return true;
    for (const b of m.bindings.values()) {
      if (b.phase === 'booked' ? this.canStart(m) : this.stopOrder(b) !== null) return true;
    }
    return false;
  }

  ordersOf(machine: string): Order[] {
    const m = this.machines.get(machine);
    return m ? this.ordersFor(m) : [];
  }

  /**
   * How long an answer without orders may be kept back: a machine with free room
   * may get a start, while the news of a full one should not wait for it.
   */
  holdFor(machine: string, type: MachineType): Duration {
    const m = this.machines.get(machine);
    if (!m || m.returning || m.noticeUntil !== null) return 0;
    return fits(this.smallest, m.free(type)) ? this.runtime.operator.window.holdAnswer : 0;
  }

  /** Orders that the worker's newest report calls for; starts leave only here. */
  private ordersFor(m: Machine): Order[] {
    const orders: Order[] = [];
    for (const t of m.exited) {
      if (this.forgettable(t)) orders.push({ op: 'forget', task: t.task, attempt: t.attempt });
    }
    for (const b of m.bindings.values()) {
      const stop = this.stopOrder(b);
      if (stop) orders.push(stop);
    }
    if (!this.canStart(m)) return orders;
    for (const b of m.bindings.values()) {
      if (b.phase !== 'booked') continue;
      b.phase = 'sent';
      b.sentSession = m.session;
      b.sentSeq = m.seq;
      m.noteStartSent(b, this.runtime.now);
      orders.push({ op: 'start', task: b.task, attempt: b.attempt });
      this.runtime.stats.record('starts.booked_to_sent_ms', this.runtime.now - b.bookedAt);
      this.runtime.env.log(
        'debug',
        { task: b.task, attempt: b.attempt, machine: m.id },
        'start sent',
      );
    }
    return orders;
  }

  stopOrder(b: Binding): Order | null {
    if (!b.stop || b.phase !== 'seen') return null;
    if (b.state === 'saving' && b.stop.grace > 0) return null;
    return { op: 'stop', task: b.task, attempt: b.attempt, grace: b.stop.grace };
  }

  private forgettable(t: TaskReport): boolean {
    const at = splitTaskId(t.task);
    const job = at ? this.jobs.get(at.job) : undefined;
    if (!job || !at || t.reason !== 'done') return true;
    return job.isDone(at.index) && !job.uncommitted.has(at.index);
  }

  private canStart(m: Machine): boolean {
    return (
      m.registered &&
      m.resolved &&
      !m.returning &&
      this.settled &&
      this.runtime.now - this.cancellationsKnownTo <= MAX_STALENESS_OF_STARTS &&
      this.leadership.held() !== null
    );
  }

  // --- bindings --------------------------------------------------------------

  book(job: LiveJob, index: number, m: Machine, sheltered = false): void {
    const count = job.nextAttempt(index);
    if (count >= ATTEMPTS_A_TERM) return this.leadership.resign('attempt numbers used up');
    const b: Binding = {
      task: taskId(job.id, index),
      job: job.id,
      index,
      attempt: this.fencingToken * ATTEMPTS_A_TERM + count,
      machine: m.id,
      team: job.spec.team,
      size: need(job.spec),
      image: job.spec.image,
      imageGb: job.spec.imageGb,
      phase: 'booked',
      bookedAt: this.runtime.now,
      sentSession: 0,
      sentSeq: 0,
      state: null,
      runningSince: null,
      stop: null,
      sheltered,
      foreign: false,
    };
    this.bind(m, b);
    job.open.delete(index);
    job.bound.set(index, b);
    this.dirtyMachines.add(m.id);
  }

  private bind(m: Machine, b: Binding): void {
    m.bindings.set(bindingKey(b.task, b.attempt), b);
    m.touch();
    this.ledger.add(b, m.zone);
  }

  private unbind(b: Binding): void {
    const m = this.machines.get(b.machine);
    if (m?.bindings.delete(bindingKey(b.task, b.attempt))) {
      m.touch();
      m.fetches.keepOnly(m.fetching, this.runtime.now);
      this.ledger.remove(b, m.zone);
    }
    const job = this.jobs.get(b.job);
    if (job?.bound.get(b.index) === b) {
      job.bound.delete(b.index);
      job.giveBack(b.index);
    }
  }

  /** Only with proof that the task is not on the machine any more. */
  private end(b: Binding, proof: string): void {
    this.runtime.env.log(
      'debug',
      { task: b.task, attempt: b.attempt, machine: b.machine, proof },
      'binding ended',
    );
    this.runtime.stats.count(`bindings.ended.${proof}`);
    this.unbind(b);
  }

  private endAll(m: Machine, proof: string): void {
    for (const b of [...m.bindings.values()]) if (b.phase !== 'booked') this.end(b, proof);
  }

  unbookAll(m: Machine): void {
    for (const b of [...m.bindings.values()]) if (b.phase === 'booked') this.unbind(b);
  }

  // --- time ------------------------------------------------------------------

  /** Notes when the roster is accounted for, which is when all work may be placed. */
  private noteReady(): void {
    if (this.wasReady || !this.ready) return;
    this.wasReady = true;
    const took = this.runtime.now - this.acquired;
    this.runtime.stats.record('takeover.ready_ms', took);
    this.runtime.env.log(
      'info',
      { token: this.fencingToken, took: Math.round(took) },
      'roster accounted for',
    );
  }

  private sweep(): void {
    // While the lease is in doubt nothing is heard, so silence means nothing.
    if (!this.leadership.held()) return;
    this.noteReady();
    const needs = [...this.jobs.values()].map((job) => need(job.spec));
    this.smallest = needs.length > 0 ? needs.reduce(least) : NOTHING;
    if (this.loaded) this.leaseExpiry.check();
    for (const m of this.machines.values()) {
      m.accumulate(1000);
      const patience = this.runtime.settings.reportEvery * BOOKING_PATIENCE;
      const silent = this.runtime.now - (m.lastCounted ?? this.acquired) > patience;
      if (silent || m.returning || m.noticeUntil !== null) this.unbookAll(m);
      const idle = m.bindings.size === 0;
      m.idleSince = idle ? (m.idleSince ?? this.runtime.now) : null;
    }
  }

  /** Their leases are surely over: the workers have killed all they had. */
  private endExpired(silent: Machine[]): void {
    const machines = silent.map((m) => m.id);
    this.runtime.env.log('info', { machines }, 'leases of silent machines ran out');
    for (const m of silent) {
      this.endAll(m, 'lease ran out');
      m.resolved = true;
      // Never enrolled, so without tasks: what a late copy of a report told of.
      if (!m.registered && m.bindings.size === 0) this.machines.delete(m.id);
    }
  }

  /** The roster gets a machine before the machine gets its first start. */
  private join(m: Machine): void {
    if (!m.registered && this.registry.get(m.id) === undefined) this.enroll(m);
  }

  private enroll(m: Machine): void {
    const age = this.runtime.now - Math.min(m.since, this.runtime.now);
    const since = Math.round((this.runtime.today.getTime() - age) / 1000);
    this.registry.set(m.id, [m.type, m.zone, m.spot ? 1 : 0, m.returning ? 1 : 0, since]);
  }

  private enrolled(entries: [string, RegistryEntry][]): void {
    for (const [id, entry] of entries) {
      const m = this.machines.get(id);
      if (!m) continue;
      m.registered = true;
      if (entry[3] === 1) m.returnCommitted = true;
      if (this.awaitsOrders(id)) this.dirtyMachines.add(id);
    }
  }

  /** Gets no more work; kept in the roster too, so that no later term gives it any. */
  markReturning(m: Machine): void {
    if (m.returning) return;
    m.returning = true;
    this.unbookAll(m);
    this.enroll(m);
  }

  /** The cloud answered 200 to its return: the machine and all on it are gone. */
  machineGone(id: string): void {
    const m = this.machines.get(id);
    this.gone.add(id);
    if (!m) return;
    this.unbookAll(m);
    this.endAll(m, 'returned to the cloud');
    this.machines.delete(id);
    this.registry.remove(id);
  }

  isGone(id: string): boolean {
    return this.gone.has(id);
  }
}

/** Capacity of a machine by the catalog; nothing is placed on an unknown type. */
export function typeOf(types: MachineType[], m: Machine): MachineType | undefined {
  for (const t of types) if (t.name === m.type) return t;
  return undefined;
}
