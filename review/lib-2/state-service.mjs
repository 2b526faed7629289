/* eslint-disable @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-member-access, @typescript-eslint/no-unsafe-argument, @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-return, @typescript-eslint/restrict-plus-operands, @typescript-eslint/no-confusing-void-expression --
   decoded bodies have no types in plain JavaScript */
/** Stand-in for the state service: keys, transactions, leases, watches, limits and outages. */
import { serve } from './wire.mjs';

const KEPT_CHANGES = 10_000;
const PAGE_BYTES = 512 * 1024;
const PAGE_ITEMS = 1000;
const TRANSACTION_BYTES = 64 * 1024;
const TICK_MS = 20;

const sizeOf = (/** @type {unknown} */ value) => Buffer.byteLength(JSON.stringify(value ?? null));

/** Allows `rate` a second, with bursts of one second's worth. */
class Bucket {
  left;
  at = performance.now();

  /** @param {number} rate */
  constructor(rate) {
    this.rate = rate;
    this.left = rate;
  }

  /** @param {number} count */
  has(count) {
    const now = performance.now();
    this.left = Math.min(this.rate, this.left + ((now - this.at) / 1000) * this.rate);
    this.at = now;
    return this.left >= count;
  }
}

/** Serves all controllers; every controller may use an address of its own. */
export class StateService {
  /** @type {Map<string, { v: any, stamp: number, lease: number | null }>} */
  keys = new Map();
  epoch = 0;
  isDown = false;
  /** Addresses whose requests get 503; their watches wait. @type {Set<string>} */
  refused = new Set();
  /** Transactions answered with 400 because they were too large. */
  tooLarge = 0;
  /** @type {Map<number, { ttl: number, endsAt: number }>} */
  leases = new Map();
  /** @type {{ epoch: number, event: any }[]} */
  changes = [];
  droppedUntil = 0;
  /** @type {Set<{ member: string, starts: string, after: number, endsAt: number, answer: (status: number, body: unknown) => void }>} */
  watches = new Set();
  lastLease = 0;
  /** @type {{ address: string, close: () => void }[]} */
  servers = [];

  /** @param {{ rps: number, writeRps: number, valueKb: number, txnOps: number }} limits */
  constructor(limits) {
    this.limits = limits;
    this.requests = new Bucket(limits.rps);
    this.writes = new Bucket(limits.writeRps);
    this.timer = setInterval(() => this.tick(), TICK_MS);
  }

  /** @param {string} member */
  async listen(member) {
    const server = await serve((method, path, body, answer) =>
      this.handle(member, method, path, body, answer),
    );
    this.servers.push(server);
    return server.address;
  }

  /** Every request gets 503, no lease ends, open watches wait. */
  beginOutage() {
    this.isDown = true;
  }

  /** Every lease has its full time again. */
  endOutage() {
    this.isDown = false;
    for (const lease of this.leases.values()) lease.endsAt = performance.now() + lease.ttl;
  }

  close() {
    clearInterval(this.timer);
    for (const server of this.servers) server.close();
  }

  /** The member that holds the leader key, as the controllers store it. */
  leader() {
    return this.keys.get('tealdock/leader')?.v.member ?? null;
  }

  tick() {
    if (this.isDown) return;
    const now = performance.now();
    for (const [id, lease] of this.leases) if (lease.endsAt <= now) this.endLease(id);
    for (const watch of this.watches) if (watch.endsAt <= now) this.answerWatch(watch);
  }

  /**
   * @param {string} member
   * @param {string} method
   * @param {string} path
   * @param {any} body
   * @param {(status: number, body: unknown) => void} answer
   */
  handle(member, method, path, body, answer) {
    if (this.isDown || this.refused.has(member)) return answer(503, { error: 'trouble' });
    const writes = path === '/commit' ? (body.writes?.length ?? 0) : 0;
    if (!this.requests.has(1) || !this.writes.has(writes)) return answer(429, { error: 'rate' });
    this.requests.left--;
    this.writes.left -= writes;
    const url = new URL(path, 'http://state');
    if (url.pathname === '/changes') return this.watch(member, url.searchParams, answer);
    if (url.pathname === '/keys') return this.list(url.searchParams, answer);
    if (url.pathname.startsWith('/keys/')) return this.read(url.pathname.slice(6), answer);
    if (url.pathname === '/commit') return this.commit(body, answer);
    return this.handleLease(method, url.pathname, body, answer);
  }

  /**
   * @param {string} key
   * @param {(status: number, body: unknown) => void} answer
   */
  read(key, answer) {
    const entry = this.keys.get(key);
    if (!entry) return answer(404, { epoch: this.epoch });
    return answer(200, { key, v: entry.v, stamp: entry.stamp, tenancy: entry.lease ?? undefined });
  }

  /**
   * @param {URLSearchParams} query
   * @param {(status: number, body: unknown) => void} answer
   */
  list(query, answer) {
    const starts = query.get('starts') ?? '';
    const after = query.get('after') ?? '';
    const most = Math.min(PAGE_ITEMS, Number(query.get('most') ?? PAGE_ITEMS));
    const keys = [...this.keys.keys()].filter((k) => k.startsWith(starts) && k > after).sort();
    const items = [];
    let bytes = 0;
    for (const key of keys.slice(0, most)) {
      const { v, stamp } = /** @type {{ v: any, stamp: number }} */ (this.keys.get(key));
      const item = { key, v, stamp };
      bytes += sizeOf(item);
      if (bytes > PAGE_BYTES - 1024 && items.length > 0) break;
      items.push(item);
    }
    return answer(200, { items, has_next: items.length < keys.length, epoch: this.epoch });
  }

  /** @param {any} transaction */
  isTooLarge({ guards, writes }) {
    const { valueKb, txnOps } = this.limits;
    if (writes.length > txnOps || guards.length > 4 * txnOps) return true;
    if (sizeOf({ guards, writes }) > TRANSACTION_BYTES) return true;
    return writes.some(
      (/** @type {any} */ write) => write.write && sizeOf(write.v) > valueKb * 1024,
    );
  }

  /**
   * @param {any} transaction
   * @param {(status: number, body: unknown) => void} answer
   */
  commit({ guards = [], writes = [] }, answer) {
    if (this.isTooLarge({ guards, writes })) {
      this.tooLarge++;
      return answer(400, { error: 'too large' });
    }
    const isLeaseGone = (/** @type {any} */ write) =>
      write.write && write.tenancy != null && !this.leases.has(write.tenancy);
    if (writes.some(isLeaseGone)) return answer(400, { error: 'no such lease' });
    const failed = guards
      .filter((/** @type {any} */ guard) => (this.keys.get(guard.key)?.stamp ?? 0) !== guard.stamp)
      .map((/** @type {any} */ guard) => guard.key);
    if (failed.length > 0) return answer(409, { failed, epoch: this.epoch });
    if (writes.length > 0) {
      this.epoch++;
      for (const write of writes) {
        if (write.write) this.put(write.write, write.v, write.tenancy ?? null);
        else this.remove(write.delete);
      }
      this.notify();
    }
    return answer(200, { epoch: this.epoch });
  }

  /**
   * @param {string} key
   * @param {any} v
   * @param {number | null} lease
   */
  put(key, v, lease) {
    this.keys.set(key, { v, stamp: this.epoch, lease });
    this.recordChange({ write: key, v, stamp: this.epoch });
  }

  /** @param {string} key */
  remove(key) {
    if (this.keys.delete(key)) this.recordChange({ delete: key, stamp: this.epoch });
  }

  /** @param {any} event */
  recordChange(event) {
    this.changes.push({ epoch: this.epoch, event });
    if (this.changes.length > KEPT_CHANGES) this.droppedUntil = this.changes.shift()?.epoch ?? 0;
  }

  /**
   * @param {string} method
   * @param {string} path
   * @param {any} body
   * @param {(status: number, body: unknown) => void} answer
   */
  handleLease(method, path, body, answer) {
    const [, root, id, verb] = path.split('/');
    if (root !== 'grants') return answer(404, { error: 'no such path' });
    if (id === undefined) {
      const lease = { ttl: body.life_ms, endsAt: performance.now() + body.life_ms };
      this.leases.set(++this.lastLease, lease);
      return answer(200, { tenancy: this.lastLease });
    }
    const lease = this.leases.get(Number(id));
    if (!lease) return answer(404, { error: 'no such lease' });
    if (method === 'DELETE') this.endLease(Number(id));
    else if (verb === 'renew') lease.endsAt = performance.now() + lease.ttl;
    return answer(200, { tenancy: Number(id) });
  }

  /** @param {number} id */
  endLease(id) {
    this.leases.delete(id);
    const attached = [...this.keys].filter(([, { lease }]) => lease === id);
    if (attached.length === 0) return;
    this.epoch++;
    for (const [key] of attached) this.remove(key);
    this.notify();
  }

  /**
   * @param {string} member
   * @param {URLSearchParams} query
   * @param {(status: number, body: unknown) => void} answer
   */
  watch(member, query, answer) {
    const after = Number(query.get('after'));
    if (after < this.droppedUntil) return answer(410, { error: 'too old' });
    const endsAt = performance.now() + Number(query.get('hold_ms') ?? 0);
    const watch = { member, starts: query.get('starts') ?? '', after, endsAt, answer };
    this.watches.add(watch);
    if (this.newsFor(watch).length > 0) this.answerWatch(watch);
  }

  /** @param {{ starts: string, after: number }} watch */
  newsFor({ starts, after }) {
    const news = [];
    for (let i = this.changes.length - 1; i >= 0; i--) {
      const { epoch, event } = this.changes[i];
      if (epoch <= after) break;
      if ((event.write ?? event.delete).startsWith(starts)) news.push(event);
    }
    return news.reverse();
  }

  /** @param {any} watch */
  answerWatch(watch) {
    if (this.isDown || this.refused.has(watch.member)) return;
    this.watches.delete(watch);
    watch.answer(200, { epoch: this.epoch, news: this.newsFor(watch) });
  }

  notify() {
    for (const watch of this.watches) if (this.newsFor(watch).length > 0) this.answerWatch(watch);
  }
}
