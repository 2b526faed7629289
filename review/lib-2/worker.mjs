/* eslint-disable @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-member-access, @typescript-eslint/no-unsafe-argument, @typescript-eslint/no-unsafe-return, @typescript-eslint/restrict-plus-operands, @typescript-eslint/no-confusing-void-expression --
   decoded bodies have no types in plain JavaScript */
/** Stand-in for a worker: reports, leases, tokens, commands, image fetches and tasks. */
import { Client, serve } from './wire.mjs';

const ANSWER_MS = 4000;
const NEXT_NODE_MS = 1000;
const CHANGE_MS = 500;
const TICK_MS = 25;

/**
 * @typedef {{ piece: string, try_no: number, status: string, reason?: string, saved?: boolean,
 *   readyAt: number, endsAt: number }} Task
 * @typedef {{ reportMs: number, leaseMs: number, nodes: { member: string, address: string }[],
 *   jobOf: (ref: string) => any, typeOf: (flavour: string) => any,
 *   runMsOf: (piece: string) => number, note: (fields: Record<string, unknown>) => void }} WorkerSite
 */

/** One machine's worker. */
export class Worker {
  /** @type {Task[]} */
  tasks = [];
  shift = 1;
  tally = 0;
  fence = 0;
  isGone = false;
  /** When the cloud takes its machine away, after a notice. @type {number | null} */
  takenAt = null;
  /** Its machine hangs: nothing is executed or sent. */
  isHung = false;
  /** Its reports get no answer, as behind a cut. */
  isCut = false;
  leaseFrom = performance.now();
  node = 0;
  nextReportAt = 0;
  lastReportAt = -Infinity;
  isReporting = false;
  client = new Client();
  /** @type {Map<string, number>} image to the time when it is there */
  images = new Map();
  /** @type {{ address: string, close: () => void } | null} */
  server = null;

  /**
   * @param {WorkerSite} site
   * @param {import('./cloud.mjs').Host} host
   */
  constructor(site, host) {
    this.site = site;
    this.host = host;
  }

  async start() {
    this.server = await serve((method, path, body, answer) => this.serve(path, body, answer));
    this.timer = setInterval(() => this.tick(), TICK_MS);
  }

  /** The machine is gone, with everything on it. */
  stop() {
    this.isGone = true;
    clearInterval(this.timer);
    this.server?.close();
    this.client.close();
    for (const task of this.tasks) this.noteGone(task, 'machine gone');
    this.tasks = [];
  }

  /** @param {Task} task @param {string} why */
  noteGone(task, why) {
    if (task.status === 'running' || task.status === 'saving')
      this.note({ event: 'ended', piece: task.piece, why });
  }

  /** @param {Record<string, unknown>} fields */
  note(fields) {
    this.site.note({ machine: this.host.ref, ...fields });
  }

  /**
   * @param {string} path
   * @param {any} body
   * @param {(status: number, body: unknown) => void} answer
   */
  serve(path, body, answer) {
    if (this.isGone || this.isHung || this.isCut) return;
    if (path === '/status') return answer(200, this.report());
    if (path === '/commands') return this.takeCommands(body, answer);
    return answer(404, {});
  }

  /**
   * @param {any} body
   * @param {(status: number, body: unknown) => void} answer
   */
  takeCommands(body, answer) {
    if (body?.fence == null || body.shift == null) return answer(400, this.report());
    if (body.fence < this.fence || body.shift !== this.shift) return answer(409, this.report());
    this.fence = body.fence;
    for (const order of body.orders ?? []) this.execute(order);
    return answer(200, this.report());
  }

  report() {
    return {
      host: this.host.ref,
      addr: this.server?.address ?? '127.0.0.1:1',
      flavour: this.host.flavour,
      hall: this.host.hall,
      spare: this.host.spare,
      shift: this.shift,
      tally: ++this.tally,
      fence: this.fence,
      warning_s:
        this.takenAt === null ? null : Math.max(0, this.takenAt - performance.now()) / 1000,
      batch: this.tasks.map(({ piece, try_no, status, reason, saved }) => ({
        piece,
        try_no,
        status,
        ...(reason === undefined ? {} : { reason }),
        ...(saved === undefined ? {} : { saved }),
      })),
    };
  }

  tick() {
    const now = performance.now();
    // The lease ends while the machine hangs, too: its tasks may not go on afterwards.
    if (now - this.leaseFrom > this.site.leaseMs) this.endLease(now);
    if (this.isHung) return;
    for (const task of this.tasks) this.advance(task, now);
    if (!this.isReporting && now >= this.nextReportAt) void this.sendReport(now);
  }

  /** @param {number} now */
  endLease(now) {
    this.note({ event: 'lease ended', tasks: this.tasks.length });
    for (const task of this.tasks) this.noteGone(task, 'lease ended');
    this.tasks = [];
    this.shift++;
    this.leaseFrom = now;
    this.changed();
  }

  /** @param {Task} task @param {number} now */
  advance(task, now) {
    if (task.status === 'pulling' && now >= task.readyAt) {
      task.status = 'running';
      task.endsAt = now + this.site.runMsOf(task.piece);
      this.note({ event: 'runs', piece: task.piece, try_no: task.try_no });
      this.changed();
    }
    if (task.status === 'running' && now >= task.endsAt) this.end(task, 'done');
    if (task.status === 'saving' && now >= task.endsAt) this.end(task, 'stopped', true);
  }

  /** @param {Task} task @param {string} reason @param {boolean} [saved] */
  end(task, reason, saved) {
    if (task.status === 'running' || task.status === 'saving')
      this.note({ event: 'ended', piece: task.piece, why: reason });
    task.status = 'exited';
    task.reason = reason;
    if (saved !== undefined) task.saved = saved;
    this.changed();
  }

  /** Something has changed: it is reported at once, but no more often than each half second. */
  changed() {
    const soon = Math.max(performance.now(), this.lastReportAt + CHANGE_MS);
    this.nextReportAt = Math.min(this.nextReportAt, soon);
    this.hasChanged = true;
  }

  /** @param {number} now */
  async sendReport(now) {
    const { reportMs, nodes } = this.site;
    this.isReporting = true;
    this.hasChanged = false;
    this.lastReportAt = now;
    this.nextReportAt = now + reportMs * (0.75 + Math.random() / 2);
    const { shift, node } = this;
    const target = nodes[node];
    const answer = this.isCut
      ? await new Promise((resolve) => setTimeout(() => resolve(null), ANSWER_MS))
      : await this.client.call(target.address, 'POST', '/hello', this.report(), ANSWER_MS);
    this.isReporting = false;
    if (this.isGone) return;
    if (this.isHung || this.isCut) return this.goTo((node + 1) % nodes.length, NEXT_NODE_MS);
    if (answer?.status === 200) return this.accept(answer.body, shift, now);
    const upstream = answer?.status === 421 ? answer.body?.upstream : undefined;
    const next = nodes.findIndex(({ member }) => member === upstream);
    if (next >= 0 && next !== node) return this.goTo(next, Math.random() * CHANGE_MS);
    this.goTo((node + 1) % nodes.length, NEXT_NODE_MS);
  }

  /** @param {number} node @param {number} delayMs */
  goTo(node, delayMs) {
    this.client.close();
    this.node = node;
    this.nextReportAt = performance.now() + delayMs;
  }

  /** @param {any} body @param {number} shift @param {number} sentAt */
  accept(body, shift, sentAt) {
    if (shift !== this.shift || body?.fence == null || body.fence < this.fence) return;
    if (body.fence > this.fence) this.changed();
    this.fence = body.fence;
    this.leaseFrom = sentAt;
    for (const order of body.orders ?? []) this.execute(order);
    if (this.hasChanged) this.changed();
  }

  /** @param {any} order */
  execute({ verb, piece, try_no, wind_down_s }) {
    const known = this.tasks.find((task) => task.piece === piece && task.try_no === try_no);
    if (verb === 'start' && !known) return this.startTask(piece, try_no);
    if (verb === 'forget' && known?.status === 'exited')
      this.tasks = this.tasks.filter((task) => task !== known);
    if (verb === 'kill' && known && known.status !== 'exited') this.kill(known, wind_down_s);
  }

  /** @param {Task} task @param {number} windDown */
  kill(task, windDown) {
    const job = this.site.jobOf(task.piece.split('/')[0]);
    const canSave = task.status === 'running' && job.snapshot_s > 0 && windDown >= job.flush_s;
    if (!canSave) return this.end(task, 'stopped', false);
    task.status = 'saving';
    task.endsAt = performance.now() + job.flush_s * 1000;
    this.changed();
  }

  /** @param {string} piece @param {number} try_no */
  startTask(piece, try_no) {
    const [ref, index] = piece.split('/');
    const job = this.site.jobOf(ref);
    /** @type {Task} */
    const task = { piece, try_no, status: 'pulling', readyAt: 0, endsAt: 0 };
    const isActive = this.tasks.some((t) => t.piece === piece && t.status !== 'exited');
    this.note({ event: 'start', piece, try_no });
    this.tasks.push(task);
    if (!job || Number(index) >= job.batch) return this.end(task, 'no_such');
    if (isActive) return this.end(task, 'in_use');
    if (!this.fits(job)) return this.end(task, 'no_room');
    task.readyAt = this.fetch(job);
    this.changed();
  }

  /** @param {any} job */
  fits(job) {
    const type = this.site.typeOf(this.host.flavour);
    const active = this.tasks.filter(({ status }) => status !== 'exited');
    const jobs = active.map(({ piece }) => this.site.jobOf(piece.split('/')[0]));
    const cpus = jobs.reduce((sum, { cpus: used }) => sum + used, 0);
    const memory = jobs.reduce((sum, { mem_gb: used }) => sum + used, 0);
    return cpus <= type.cpus && memory <= type.mem_gb && job !== null;
  }

  /** When the image is there. @param {any} job */
  fetch({ bundle, image_gb }) {
    const now = performance.now();
    const type = this.site.typeOf(this.host.flavour);
    const readyAt = this.images.get(bundle) ?? now + (image_gb / type.pull_gb_per_s) * 1000;
    this.images.set(bundle, readyAt);
    return Math.max(now, readyAt);
  }
}
