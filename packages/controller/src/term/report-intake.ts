/** What reports of workers tell a term: tasks that run, exited, or never arrived. */
import { splitTaskId, type Order, type TaskReport, type WorkerReport } from '@tealdock/wire';
import { NOTHING, need } from '@tealdock/scheduler';
import type { LiveJob } from '../jobs/live-job.js';
import { bindingKey, type Binding, type Machine } from '../machines/machine.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Bindings } from './bindings.js';
import type { EndedJobLookup } from './ended-job-lookup.js';
import type { Membership } from './membership.js';
import type { Orders } from './orders.js';
import type { TermState } from './term-state.js';

/** A machine on which so many tasks in a row failed is quarantined; so is a job. */
const MAX_FAILURES = 3;
const QUARANTINE = 120_000;
/** How long a machine is quarantined whose start never showed up; fourfold each time. */
const LOST_START_QUARANTINE = 3000;
const LOST_START_FACTOR = 4;
/** A job that fails everywhere is tried again after a second, then twice as late each time. */
const FIRST_BACKOFF = 1000;
const MAX_BACKOFF = 60_000;
/** A worker learns the token from the first answer that it hears. */
const DEAF_PATIENCE = 8000;
/** Weight of the newest task in the learnt ratio of run times, and what it may tell at most. */
const RATIO_WEIGHT = 0.1;
const MAX_RATIO = 10;

/** What came of a report. */
export interface ReportOutcome {
  /** False for a report that is late, or made under another token. */
  counted: boolean;
  /** False if it must not get the answer that renews its lease. */
  answered: boolean;
  orders: Order[];
}
const IGNORED: ReportOutcome = { counted: false, answered: true, orders: [] };
const UNANSWERED: ReportOutcome = { ...IGNORED, answered: false };

/** Takes reports in. What a late one says, or one under another token, changes nothing. */
export class ReportIntake {
  constructor(
    private readonly runtime: Runtime,
    private readonly term: TermState,
    private readonly bindings: Bindings,
    private readonly lookup: EndedJobLookup,
    private readonly orders: Orders,
    private readonly membership: Membership,
  ) {}

  /** Takes in a report; its answer may carry the orders. */
  report(report: WorkerReport): ReportOutcome {
    if (this.membership.isGone(report.machine)) return IGNORED;
    const m = this.machineOf(report);
    if (this.deafToTerm(m, report)) return UNANSWERED;
    // Its lease is renewed by the answer, whatever the report is worth otherwise.
    m.lastHeard = this.runtime.now;
    // Tasks of a report sent before the worker saw this token may be outdated by
    // a start of the term before; a late report is outdated by a newer one.
    if (report.token !== this.term.fencingToken || !m.isNews(report)) return IGNORED;
    this.absorb(report);
    return { counted: true, answered: true, orders: this.orders.ordersFor(m) };
  }

  /**
   * Its reports go on under an older token although they were answered under ours: it
   * hears nothing. Each answer would make its lease look renewed, and the whole roster
   * would wait for it for as long as it is deaf. Without answers its lease surely ends.
   */
  private deafToTerm(m: Machine, report: WorkerReport): boolean {
    if (m.resolved || report.token === this.term.fencingToken) return false;
    m.answeredFrom ??= this.runtime.now;
    return this.runtime.now - m.answeredFrom > DEAF_PATIENCE;
  }

  private machineOf(report: WorkerReport): Machine {
    let m = this.term.machines.get(report.machine);
    if (!m) {
      m = this.membership.newMachine(report.machine, report);
      // Not in the roster, so no term has ever sent a start to it.
      m.resolved = true;
      this.term.machines.set(m.id, m);
    }
    m.since = Math.min(m.since, this.runtime.now);
    return m;
  }

  private absorb(report: WorkerReport): void {
    const m = this.machineOf(report);
    if (report.session > m.session) this.bindings.endAll(m, 'session ended');
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
    this.membership.join(m);
  }

  private endMissing(m: Machine, report: WorkerReport): void {
    const listed = new Set(report.tasks.map((t) => bindingKey(t.task, t.attempt)));
    let lost = false;
    for (const [key, b] of [...m.bindings]) {
      if (b.phase === 'booked' || listed.has(key)) continue;
      lost ||= b.phase === 'sent';
      this.bindings.end(b, 'not on the machine');
    }
    if (lost) this.noteLostStart(m);
  }

  /**
   * Reports of a machine may arrive while no answer reaches it. It then looks idle,
   * the best of volunteers, and would eat start after start.
   */
  private noteLostStart(m: Machine): void {
    const quarantine = Math.min(
      QUARANTINE,
      LOST_START_QUARANTINE * LOST_START_FACTOR ** m.lostStarts++,
    );
    m.quarantinedUntil = Math.max(m.quarantinedUntil, this.runtime.now + quarantine);
    this.runtime.env.log(
      'info',
      { machine: m.id, lostStarts: m.lostStarts, aside: quarantine },
      'start was lost',
    );
    this.bindings.unbookAll(m);
  }

  private absorbTask(m: Machine, t: TaskReport): void {
    const bound = m.bindings.get(bindingKey(t.task, t.attempt));
    if (t.state === 'exited') return this.absorbExit(m, t, bound);
    const b = bound ?? this.adopt(m, t);
    if (b.phase === 'seen' && b.state === t.state) return;
    m.lostStarts = 0;
    b.phase = 'seen';
    if (t.state !== 'fetching') this.noteStart(m, b);
    else if (this.term.jobs.get(b.job)?.spec.kind === 'array') m.noteMissing(b, this.runtime.now);
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
    if (fetch) this.term.fetchSharing.note(fetch);
    m.noteImage(image, gb);
  }

  private absorbExit(m: Machine, t: TaskReport, bound: Binding | undefined): void {
    const at = splitTaskId(t.task);
    const job = at ? this.term.jobs.get(at.job) : undefined;
    if (bound) this.endExited(m, bound, t);
    if (!job || !at || at.index >= job.spec.taskCount || t.reason !== 'done') return;
    job.markDone(at.index);
    const other = job.bound.get(at.index);
    if (other) this.bindings.discard(other, 'done elsewhere');
  }

  private endExited(m: Machine, b: Binding, t: TaskReport): void {
    const job = b.foreign ? undefined : this.term.jobs.get(b.job);
    if (t.reason === 'done') {
      m.failures = 0;
      if (job) this.learn(job, b);
    } else if (t.reason === 'error' || t.reason === 'unknown') {
      this.noteFailure(m, job, t);
    }
    if (job && t.reason === 'done') job.markDone(b.index);
    this.bindings.end(b, t.reason ?? 'exited');
  }

  private learn(job: LiveJob, b: Binding): void {
    job.failures = 0;
    if (b.runningSince === null || job.spec.estimate <= 0) return;
    const ratio = (this.runtime.now - b.runningSince) / job.spec.estimate;
    const known = this.term.ratios.get(job.spec.jobClass) ?? 1;
    this.term.ratios.set(
      job.spec.jobClass,
      known * (1 - RATIO_WEIGHT) + Math.min(ratio, MAX_RATIO) * RATIO_WEIGHT,
    );
  }

  /** Mostly the machine is at fault; a job with a mistake fails on every machine. */
  private noteFailure(m: Machine, job: LiveJob | undefined, t: TaskReport): void {
    this.runtime.env.log('info', { machine: m.id, task: t.task, reason: t.reason }, 'task failed');
    if (t.reason === 'error' && (job?.failures ?? 0) < MAX_FAILURES) m.failures++;
    if (m.failures >= MAX_FAILURES) m.quarantinedUntil = this.runtime.now + QUARANTINE;
    if (!job) return;
    job.failures++;
    if (job.failures < MAX_FAILURES) return;
    job.backoffUntil =
      this.runtime.now + Math.min(MAX_BACKOFF, FIRST_BACKOFF * 2 ** (job.failures - MAX_FAILURES));
  }

  /** A task found on a machine without a binding of this term. */
  private adopt(m: Machine, t: TaskReport): Binding {
    const at = splitTaskId(t.task);
    const job = at ? this.term.jobs.get(at.job) : undefined;
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
    this.bindings.bind(m, b);
    if (wanted) {
      job.bound.set(b.index, b);
      job.open.delete(b.index);
    }
    if (!job) this.lookup.lookUp(b);
    return b;
  }
}
