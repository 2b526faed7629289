/* eslint-disable -- plain JavaScript without types */
/** Stand-in for the state service, as PROTOCOL describes it. */
import { serve } from './http.mjs';

const MAX_TRANSACTION_BYTES = 64 * 1024;
const MAX_PAGE_BYTES = 512 * 1024;
const RETAINED_CHANGES = 10_000;
const size = (value) => Buffer.byteLength(JSON.stringify(value ?? null));

export class StateService {
  keys = new Map();
  epoch = 0;
  down = false;
  /** Transactions that were answered with 400, with their size in JSON form. */
  refusedTransactions = [];
  #leases = new Map();
  #lastLease = 0;
  #changes = [];
  #compactedTo = 0;
  #watches = new Set();
  #tokens;
  #refilledAt = performance.now();

  /** `limits`: `rps`, `write_rps`, `value_kb` and `txn_ops`, as in the settings. */
  constructor(limits) {
    this.limits = limits;
    this.#tokens = { calls: limits.rps, writes: limits.write_rps };
  }

  async start() {
    this.server = await serve((...request) => this.#handle(...request));
    this.port = this.server.port;
    this.timer = setInterval(() => this.#tick(), 10);
  }

  close() {
    clearInterval(this.timer);
    this.server?.close();
  }

  /** Begins an outage: every request gets a 503, open watches stay open, no lease ends. */
  beginOutage() {
    this.down = true;
  }

  endOutage() {
    this.down = false;
    for (const lease of this.#leases.values()) lease.endsAt = performance.now() + lease.life;
  }

  leader() {
    return this.keys.get('tealdock/leader')?.v.member ?? null;
  }

  #tick() {
    if (this.down) return;
    const now = performance.now();
    for (const [id, lease] of this.#leases) if (lease.endsAt <= now) this.#endLease(id);
    for (const watch of this.#watches) this.#answerWatch(watch, watch.endsAt <= now);
  }

  #handle(method, url, body, reply) {
    if (this.down) return reply(503, { error: 'trouble' });
    const { pathname, searchParams: query } = new URL(url, 'http://state');
    const isCommit = method === 'POST' && pathname === '/commit';
    if (!this.#take(isCommit ? (body?.writes?.length ?? 0) : 0))
      return reply(429, { error: 'too many requests' });
    if (isCommit) return this.#commit(body, reply);
    if (pathname === '/changes') return this.#watch(query, reply);
    if (pathname === '/keys') return this.#list(query, reply);
    if (pathname.startsWith('/keys/')) {
      const key = pathname.slice('/keys/'.length);
      const item = this.keys.get(key);
      if (!item) return reply(404, { epoch: this.epoch });
      return reply(200, { key, v: item.v, stamp: item.stamp, tenancy: item.lease ?? undefined });
    }
    if (pathname.startsWith('/grants')) return this.#lease(method, pathname, body, reply);
    reply(400, { error: 'malformed' });
  }

  #take(writes) {
    const now = performance.now();
    const seconds = (now - this.#refilledAt) / 1000;
    this.#refilledAt = now;
    const { rps, write_rps: writeRps } = this.limits;
    const tokens = this.#tokens;
    tokens.calls = Math.min(rps, tokens.calls + seconds * rps);
    tokens.writes = Math.min(writeRps, tokens.writes + seconds * writeRps);
    if (tokens.calls < 1 || tokens.writes < writes) return false;
    tokens.calls--;
    tokens.writes -= writes;
    return true;
  }

  #commit({ guards = [], writes = [] }, reply) {
    const { txn_ops: ops, value_kb: valueKb } = this.limits;
    const bytes = size({ guards, writes });
    const isTooLarge =
      writes.length > ops ||
      guards.length > 4 * ops ||
      bytes > MAX_TRANSACTION_BYTES ||
      writes.some((write) => 'write' in write && size(write.v) > valueKb * 1024);
    if (isTooLarge) {
      this.refusedTransactions.push({ at: Date.now(), bytes, writes: writes.length });
      return reply(400, { error: 'too large' });
    }
    if (writes.some(({ tenancy }) => tenancy != null && !this.#leases.has(tenancy)))
      return reply(400, { error: 'no such lease' });
    const failed = guards.filter(({ key, stamp }) => (this.keys.get(key)?.stamp ?? 0) !== stamp);
    if (failed.length > 0)
      return reply(409, { failed: failed.map(({ key }) => key), epoch: this.epoch });
    if (writes.length > 0) this.epoch++;
    for (const write of writes) {
      if ('delete' in write) this.#remove(write.delete);
      else this.#put(write.write, write.v, write.tenancy ?? null);
    }
    reply(200, { epoch: this.epoch });
    for (const watch of this.#watches) this.#answerWatch(watch, false);
  }

  #put(key, v, lease) {
    this.keys.set(key, { v, stamp: this.epoch, lease });
    this.#record({ write: key, v, stamp: this.epoch });
  }

  #remove(key) {
    if (this.keys.delete(key)) this.#record({ delete: key, stamp: this.epoch });
  }

  #record(change) {
    this.#changes.push(change);
    while (this.#changes.length > RETAINED_CHANGES) this.#compactedTo = this.#changes.shift().stamp;
  }

  #list(query, reply) {
    const prefix = query.get('starts') ?? '';
    const after = query.get('after') ?? '';
    const most = Math.min(1000, Number(query.get('most') ?? 1000));
    const keys = [...this.keys.keys()].filter((k) => k.startsWith(prefix) && k > after).sort();
    const items = [];
    let bytes = 0;
    for (const key of keys.slice(0, most)) {
      const { v, stamp } = this.keys.get(key);
      bytes += size({ key, v, stamp });
      if (bytes > MAX_PAGE_BYTES && items.length > 0) break;
      items.push({ key, v, stamp });
    }
    reply(200, { items, has_next: items.length < keys.length, epoch: this.epoch });
  }

  #lease(method, path, body, reply) {
    const [, , id, verb] = path.split('/');
    const now = performance.now();
    if (method === 'POST' && id === undefined) {
      const lease = { life: body.life_ms, endsAt: now + body.life_ms };
      this.#leases.set(++this.#lastLease, lease);
      return reply(200, { tenancy: this.#lastLease });
    }
    const lease = this.#leases.get(Number(id));
    if (!lease) return reply(404, { error: 'no such lease' });
    if (method === 'DELETE') this.#endLease(Number(id));
    else if (verb === 'renew') lease.endsAt = now + lease.life;
    reply(200, { tenancy: Number(id) });
  }

  #endLease(id) {
    this.#leases.delete(id);
    const keys = [...this.keys].filter(([, item]) => item.lease === id).map(([key]) => key);
    if (keys.length === 0) return;
    this.epoch++;
    for (const key of keys) this.#remove(key);
  }

  #watch(query, reply) {
    const after = Number(query.get('after') ?? 0);
    if (after < this.#compactedTo) return reply(410, { error: 'too old' });
    const endsAt = performance.now() + Number(query.get('hold_ms') ?? 0);
    const watch = { prefix: query.get('starts') ?? '', after, endsAt, reply };
    this.#watches.add(watch);
    this.#answerWatch(watch, false);
  }

  #answerWatch(watch, isDue) {
    const news = this.#changes.filter(
      (change) =>
        change.stamp > watch.after && (change.write ?? change.delete).startsWith(watch.prefix),
    );
    if (news.length === 0 && !isDue) return;
    this.#watches.delete(watch);
    watch.reply(200, { epoch: this.epoch, news });
  }
}
