/* eslint-disable -- plain JavaScript without types */
/** Stand-in for a worker, as PROTOCOL describes it. */
import http from 'node:http';
import { call, serve, HOST } from './http.mjs';

const RESPONSE_TIMEOUT_MS = 4000;
const MIN_INTERVAL_MS = 500;

export class Worker {
  tasks = [];
  shift = 1;
  tally = 0;
  fence = 0;
  stopped = false;
  #node;
  #agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  #inFlight = false;
  #lastSentAt = -Infinity;
  #nextAt = 0;
  #leaseFrom = performance.now();
  #kept = new Set();

  /**
   * `site`: `nodes` (`{ member, port }`), `times` (`report_s`, `lease_s` in seconds), `jobs` (what
   * users uploaded, by ref), and `note(event)`.
   */
  constructor(site, machine, nodeIndex) {
    this.site = site;
    this.machine = machine;
    this.#node = nodeIndex;
  }

  async start() {
    this.server = await serve((method, path, body, reply) => {
      if (path === '/status') return reply(200, this.#report());
      if (path !== '/commands') return reply(400, {});
      this.#commands(body ?? {}, reply);
    });
    this.machine.addr = `${HOST}:${this.server.port}`;
    this.timer = setInterval(() => this.#tick(), 20);
  }

  close() {
    this.stopped = true;
    clearInterval(this.timer);
    this.server?.close();
    this.#agent.destroy();
  }

  #tick() {
    const now = performance.now();
    if (now - this.#leaseFrom > this.site.times.lease_s * 1000) this.#newSession(now);
    for (const task of this.tasks) {
      if (task.status === 'pulling' && now >= task.at) this.#run(task, now);
      else if (task.status === 'running' && now >= task.at) this.#exit(task, 'done');
      else if (task.status === 'saving' && now >= task.at) {
        task.saved = true;
        this.#exit(task, 'stopped');
      }
    }
    const isDue = now >= this.#nextAt && now - this.#lastSentAt >= MIN_INTERVAL_MS;
    if (!this.#inFlight && isDue) void this.#send(now);
  }

  #newSession(now) {
    for (const task of this.tasks) {
      if (task.status === 'running' || task.status === 'saving')
        this.#note(task, 'killed by lease');
    }
    this.tasks = [];
    this.shift++;
    this.#leaseFrom = now;
    this.#changed();
  }

  #note(task, event) {
    this.site.note({ event, piece: task.piece, try_no: task.try_no, host: this.machine.ref });
  }

  #changed() {
    this.#nextAt = Math.min(this.#nextAt, performance.now());
  }

  #run(task, now) {
    const { job, index } = this.#jobOf(task.piece);
    task.status = 'running';
    const isKept = this.#kept.has(task.piece);
    task.at = now + (isKept ? 0 : job.run_ms(index));
    this.#note(task, 'start');
    this.#changed();
  }

  #exit(task, reason) {
    const wasOn = task.status === 'running' || task.status === 'saving';
    task.status = 'exited';
    task.reason = reason;
    if (reason === 'done') this.#kept.add(task.piece);
    if (wasOn) this.#note(task, reason);
    this.#changed();
  }

  #jobOf(piece) {
    const [ref, index] = piece.split('/');
    const job = this.site.jobs.get(ref);
    return job && Number(index) < job.spec.batch ? { job, index: Number(index) } : null;
  }

  #report() {
    const { ref, addr, flavour, hall, spare } = this.machine;
    return {
      host: ref,
      addr,
      flavour,
      hall,
      spare,
      shift: this.shift,
      tally: ++this.tally,
      fence: this.fence,
      warning_s: null,
      batch: this.tasks.map(({ piece, try_no, status, reason, saved }) =>
        status === 'exited'
          ? { piece, try_no, status, reason, ...(saved ? { saved } : {}) }
          : { piece, try_no, status },
      ),
    };
  }

  async #send(now) {
    const { report_s: reportS } = this.site.times;
    this.#inFlight = true;
    this.#lastSentAt = now;
    this.#nextAt = now + reportS * 1000 * (0.75 + Math.random() * 0.5);
    const { shift } = this;
    const { port, member } = this.site.nodes[this.#node];
    const body = this.#report();
    const answer = await call({
      port,
      method: 'POST',
      path: '/hello',
      body,
      timeout: RESPONSE_TIMEOUT_MS,
      agent: this.#agent,
    });
    this.#inFlight = false;
    if (this.stopped) return;
    if (answer.status === 200) return this.#apply(answer.body ?? {}, now, shift);
    const upstream = answer.status === 421 ? answer.body?.upstream : undefined;
    const target = this.site.nodes.findIndex((node) => node.member === upstream);
    if (target >= 0 && upstream !== member) {
      this.#node = target;
      this.#nextAt = performance.now();
    } else {
      this.#node = (this.#node + 1) % this.site.nodes.length;
      this.#nextAt = performance.now() + 1000;
    }
  }

  #apply({ fence, orders = [] }, sentAt, shift) {
    if (fence === undefined || fence < this.fence || shift !== this.shift) return;
    if (fence > this.fence) this.#changed();
    this.fence = fence;
    this.#leaseFrom = Math.max(this.#leaseFrom, sentAt);
    for (const order of orders) this.#execute(order);
  }

  #commands({ fence, shift, orders = [] }, reply) {
    if (fence === undefined || shift === undefined) return reply(400, this.#report());
    if (fence < this.fence || shift !== this.shift) return reply(409, this.#report());
    this.fence = fence;
    for (const order of orders) this.#execute(order);
    reply(200, this.#report());
  }

  #execute({ verb, piece, try_no, wind_down_s: windDown = 0 }) {
    const known = this.tasks.find((task) => task.piece === piece && task.try_no === try_no);
    if (verb === 'forget') {
      if (known?.status === 'exited') this.tasks = this.tasks.filter((task) => task !== known);
    } else if (verb === 'kill') {
      if (known && known.status !== 'exited') this.#kill(known, windDown);
    } else if (verb === 'start' && !known) this.#start(piece, try_no);
  }

  #kill(task, windDown) {
    const found = this.#jobOf(task.piece);
    const { snapshot_s: snapshot = 0, flush_s: flush = 0 } = found?.job.spec ?? {};
    if (task.status === 'running' && snapshot > 0 && windDown >= flush && windDown > 0) {
      task.status = 'saving';
      task.at = performance.now() + flush * 1000;
      return this.#changed();
    }
    if (task.status === 'saving' && windDown > 0) return;
    this.#exit(task, 'stopped');
  }

  #start(piece, tryNo) {
    const isHere = this.tasks.some((task) => task.piece === piece && task.status !== 'exited');
    const task = { piece, try_no: tryNo, status: 'pulling', at: performance.now() + 200 };
    this.tasks.push(task);
    this.#changed();
    if (!this.#jobOf(piece)) return this.#exit(task, 'no_such');
    if (isHere) return this.#exit(task, 'in_use');
    if (!this.#hasRoom()) return this.#exit(task, 'no_room');
  }

  #hasRoom() {
    const { cpus, mem_gb: memory } = this.site.catalog.find(
      ({ label }) => label === this.machine.flavour,
    );
    let usedCpus = 0;
    let usedMemory = 0;
    for (const { piece, status } of this.tasks) {
      const found = status === 'exited' ? null : this.#jobOf(piece);
      usedCpus += found?.job.spec.cpus ?? 0;
      usedMemory += found?.job.spec.mem_gb ?? 0;
    }
    return usedCpus <= cpus + 1e-6 && usedMemory <= memory + 1e-6;
  }
}
