/** A worker in memory. */
import type { CallResult } from '@tealdock/controller';
import type { CloudMachine } from './fake-cloud.js';

/** A task on a worker, as its reports show it. */
export interface WorkerTask {
  piece: string;
  try_no: number;
  status: 'pulling' | 'running' | 'exited';
  reason?: string;
  ends: number;
}

interface WireOrder {
  verb: 'start' | 'kill' | 'forget';
  piece: string;
  try_no: number;
}
/** What a controller sends to a worker's own address. */
export interface WireCommands {
  fence?: number;
  shift?: number;
  orders?: WireOrder[];
}
interface WireAnswer {
  fence?: number;
  orders?: WireOrder[];
  upstream?: string;
}

/** The image that a task needs. */
export interface TaskImage {
  name: string;
  gb: number;
  /** What is fetched of it in a second. */
  gbPerS: number;
  /** Whether fetches at the same time share that rate. */
  shared: boolean;
}

/** What the simulated cluster does for a worker: carries its reports and knows the jobs. */
export interface WorkerHost {
  now(): number;
  nodes: string[];
  heartbeatInterval: number;
  lease: number;
  /** Where direct commands to a machine go. */
  address(machine: string): string;
  runTime(piece: string): number | null;
  /** The image that a task needs; null if it is on the machine. */
  imageOf(piece: string): TaskImage | null;
  fails(piece: string, machine: string): boolean;
  hangUp(worker: FakeWorker, node: string): void;
  carry(worker: FakeWorker, node: string, body: unknown, done: (r: CallResult) => void): void;
  started(piece: string, machine: string): void;
  ended(piece: string, machine: string, reason: string): void;
}

const ANSWER_TIMEOUT = 4000;

/** A worker as the protocol describes it: one report in flight, tokens, sessions, leases. */
export class FakeWorker {
  tasks: WorkerTask[] = [];
  shift = 1;
  tally = 0;
  fence = 0;
  warning: number | null = null;
  gone = false;
  /** Nothing runs and nothing is heard; commands wait, as a machine's sockets hold them. */
  hanging = false;
  private readonly inbox: (() => void)[] = [];
  private node = 0;
  private next = 0;
  private lastSent: number;
  private flight: { sent: number; shift: number; id: number } | null = null;
  private flights = 0;
  private changed = false;
  private readonly images = new Set<string>();
  /** GB that have come of images that tasks wait for. */
  private readonly fetched = new Map<string, number>();
  private ticked: number;

  constructor(
    private readonly host: WorkerHost,
    readonly machine: CloudMachine,
  ) {
    this.lastSent = this.ticked = host.now();
    this.node = machine.id.charCodeAt(machine.id.length - 1) % host.nodes.length;
  }

  tick(): void {
    if (this.gone) return;
    const now = this.host.now();
    // A hanging machine may go on within its lease only, so its end counts at once.
    if (now - this.lastSent > this.host.lease) this.newSession(now);
    const elapsed = now - this.ticked;
    this.ticked = now;
    if (this.hanging) return this.standStill(elapsed);
    for (const execute of this.inbox.splice(0)) execute();
    this.fetch(elapsed / 1000);
    this.finishTasks(now);
    if (this.flight && now - this.flight.sent > ANSWER_TIMEOUT) this.elsewhere();
    if (!this.flight && now >= this.next) this.report(now);
  }

  private standStill(elapsed: number): void {
    for (const t of this.tasks) if (t.status === 'running') t.ends += elapsed;
  }

  /** `POST /commands`; a machine that hangs carries it out when it goes on. */
  commands(body: WireCommands, done: (r: CallResult) => void): void {
    this.inbox.push(() => done(this.carryOut(body)));
  }

  private carryOut({ fence, shift, orders }: WireCommands): CallResult {
    if (fence === undefined || shift === undefined) return this.reportAs(400);
    if (fence < this.fence || shift !== this.shift) return this.reportAs(409);
    this.fence = fence;
    for (const order of orders ?? []) this.execute(order);
    if (this.changed) this.soon();
    return this.reportAs(200);
  }

  private reportAs(status: number): CallResult {
    return { kind: 'answer', status, body: this.body() };
  }

  private finishTasks(now: number): void {
    for (const t of this.tasks) {
      if (t.status !== 'running' || t.ends > now) continue;
      this.exit(t, this.host.fails(t.piece, this.machine.id) ? 'error' : 'done');
    }
  }

  /** Its cache is emptied, which no report tells of. */
  dropImages(): void {
    this.images.clear();
    this.fetched.clear();
  }

  /** Images that tasks wait for at present. */
  fetching(): string[] {
    const names = this.tasks
      .filter((t) => t.status === 'pulling')
      .map((t) => this.host.imageOf(t.piece)?.name ?? '');
    return [...new Set(names)];
  }

  private fetch(seconds: number): void {
    const wanted = this.fetching();
    for (const name of this.fetched.keys()) if (!wanted.includes(name)) this.fetched.delete(name);
    for (const t of this.tasks) {
      const image = t.status === 'pulling' ? this.host.imageOf(t.piece) : null;
      if (!image || !wanted.includes(image.name)) continue;
      wanted.splice(wanted.indexOf(image.name), 1);
      const part = image.shared ? 1 / this.fetching().length : 1;
      const came = (this.fetched.get(image.name) ?? 0) + seconds * image.gbPerS * part;
      this.fetched.set(image.name, came);
      if (came >= image.gb) this.images.add(image.name);
    }
    for (const t of this.tasks) if (t.status === 'pulling') this.runIfFetched(t);
  }

  private runIfFetched(t: WorkerTask): void {
    const image = this.host.imageOf(t.piece);
    if (image && !this.images.has(image.name)) return;
    t.status = 'running';
    t.ends = this.host.now() + (this.host.runTime(t.piece) ?? 0);
    this.host.started(t.piece, this.machine.id);
    this.soon();
  }

  private exit(t: WorkerTask, reason: string): void {
    t.status = 'exited';
    t.reason = reason;
    this.soon();
    this.host.ended(t.piece, this.machine.id, reason);
  }

  private soon(): void {
    this.changed = true;
    this.next = Math.min(this.next, this.host.now() + 500);
  }

  /** The machine goes down and is back at once: its tasks are gone, its session advances. */
  reboot(): void {
    this.flight = null;
    this.newSession(this.host.now());
  }

  private newSession(now: number): void {
    for (const t of this.tasks) {
      if (t.status === 'running') this.host.ended(t.piece, this.machine.id, 'lease');
    }
    this.tasks = [];
    this.shift++;
    this.lastSent = now;
    this.soon();
  }

  private elsewhere(): void {
    this.flight = null;
    this.turnTo((this.node + 1) % this.host.nodes.length);
    this.next = this.host.now() + 1000;
  }

  private turnTo(node: number): void {
    this.host.hangUp(this, this.host.nodes[this.node]!);
    this.node = node;
  }

  private report(now: number): void {
    this.changed = false;
    this.next = now + this.host.heartbeatInterval;
    const id = ++this.flights;
    this.flight = { sent: now, shift: this.shift, id };
    const node = this.host.nodes[this.node]!;
    this.host.carry(this, node, this.body(), (r) => {
      if (this.flight?.id === id && !this.gone && !this.hanging) this.answered(r);
    });
  }

  private body(): unknown {
    const m = this.machine;
    return {
      host: m.id,
      addr: this.host.address(m.id),
      flavour: m.type,
      hall: m.zone,
      spare: m.spot,
      shift: this.shift,
      tally: ++this.tally,
      fence: this.fence,
      warning_s: this.warning,
      batch: this.tasks.map(({ piece, try_no, status, reason }) => ({
        piece,
        try_no,
        status,
        reason,
      })),
    };
  }

  private answered(r: CallResult): void {
    const flight = this.flight!;
    this.flight = null;
    const body = r.kind === 'answer' ? (r.body as WireAnswer) : {};
    if (r.kind === 'answer' && r.status === 200) return this.obey(flight, body);
    const named = r.kind === 'answer' && r.status === 421 ? body.upstream : undefined;
    const at = named === undefined ? -1 : this.host.nodes.indexOf(named);
    if (at < 0 || at === this.node) return this.elsewhere();
    this.turnTo(at);
    this.next = this.host.now();
  }

  private obey(flight: { sent: number; shift: number }, body: WireAnswer): void {
    const fence = body.fence ?? -1;
    if (fence < this.fence || flight.shift !== this.shift) return;
    if (fence > this.fence) this.soon();
    this.fence = fence;
    this.lastSent = flight.sent;
    for (const order of body.orders ?? []) this.execute(order);
    if (this.changed) this.soon();
  }

  private execute(order: WireOrder): void {
    const known = this.tasks.find((t) => t.piece === order.piece && t.try_no === order.try_no);
    if (order.verb === 'forget') {
      if (known?.status === 'exited') this.tasks = this.tasks.filter((t) => t !== known);
    } else if (order.verb === 'kill') {
      if (known && known.status !== 'exited') this.exit(known, 'stopped');
    } else if (!known) this.startTask(order);
  }

  private startTask(order: WireOrder): void {
    const task: WorkerTask = {
      piece: order.piece,
      try_no: order.try_no,
      status: 'pulling',
      ends: 0,
    };
    this.tasks.push(task);
    const busy = this.tasks.some(
      (t) => t !== task && t.piece === order.piece && t.status !== 'exited',
    );
    if (this.host.runTime(order.piece) === null) return this.refuse(task, 'no_such');
    if (busy) return this.refuse(task, 'in_use');
    this.soon();
    this.runIfFetched(task);
  }

  private refuse(task: WorkerTask, reason: string): void {
    task.status = 'exited';
    task.reason = reason;
    this.soon();
  }
}
