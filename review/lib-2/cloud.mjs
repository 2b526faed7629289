/* eslint-disable @typescript-eslint/no-unsafe-member-access, @typescript-eslint/no-unsafe-argument, @typescript-eslint/no-confusing-void-expression --
   decoded bodies have no types in plain JavaScript */
/** Stand-in for the cloud: catalog, rentals, returns and the machine list, with outages. */
import { serve } from './wire.mjs';

/**
 * @typedef {{ label: string, cpus: number, accelerators: number, mem_gb: number, cache_gb: number,
 *   pull_gb_per_s: number, price: number, low_price: number, ready_s: number, halls: string[] }} MachineType
 * @typedef {{ ref: string, flavour: string, hall: string, spare: boolean, rentedAt: number, readyAt: number }} Host
 */

/** Machines that are owned, or rented up to a capacity for each pool. */
export class Cloud {
  isDown = false;
  /** @type {Map<string, Host>} */
  hosts = new Map();
  /** @type {Map<string, string[]>} */
  rentals = new Map();
  lastNumber = 0;
  /** Called when a machine is up, and when it is gone. */
  onUp = /** @type {(host: Host) => void} */ (() => undefined);
  onGone = /** @type {(ref: string) => void} */ (() => undefined);
  /** @type {{ address: string, close: () => void } | null} */
  server = null;

  /**
   * @param {MachineType[]} types
   * @param {number} capacity machines in each pool
   */
  constructor(types, capacity) {
    this.types = types;
    this.capacity = capacity;
  }

  async listen() {
    this.server = await serve((_method, path, body, answer) => this.handle(path, body, answer));
    return this.server.address;
  }

  close() {
    this.server?.close();
  }

  /**
   * Adds a machine that is up after the delay.
   * @param {string} flavour
   * @param {string} hall
   * @param {boolean} spare
   * @param {number} bootMs
   */
  add(flavour, hall, spare, bootMs) {
    const ref = `m-${String(++this.lastNumber).padStart(6, '0')}`;
    const now = performance.now();
    const host = { ref, flavour, hall, spare, rentedAt: now, readyAt: now + bootMs };
    this.hosts.set(ref, host);
    setTimeout(() => {
      if (this.hosts.has(ref)) this.onUp(host);
    }, bootMs).unref();
    return ref;
  }

  /** The machine and everything on it is gone. @param {string} ref */
  take(ref) {
    if (this.hosts.delete(ref)) this.onGone(ref);
  }

  /**
   * @param {string} path
   * @param {any} body
   * @param {(status: number, body: unknown) => void} answer
   */
  handle(path, body, answer) {
    if (this.isDown) return answer(503, { error: 'trouble' });
    if (path === '/catalog') return answer(200, { flavours: this.types });
    if (path === '/machines/return') {
      for (const ref of body.hosts) this.take(ref);
      return answer(200, {});
    }
    if (path === '/machines') return this.rent(body, answer);
    return this.list(new URL(path, 'http://cloud').searchParams, answer);
  }

  /**
   * @param {any} body
   * @param {(status: number, body: unknown) => void} answer
   */
  rent({ rental, flavour, hall, spare, count }, answer) {
    const known = this.rentals.get(rental);
    if (known) return answer(200, { hosts: known });
    const type = this.types.find(({ label }) => label === flavour);
    if (!type) return answer(400, { error: 'no such type' });
    const inPool = [...this.hosts.values()].filter(
      (host) => host.flavour === flavour && host.hall === hall && host.spare === spare,
    );
    const free = Math.min(count, this.capacity - inPool.length);
    if (free <= 0) return answer(503, { error: 'no capacity' });
    const bootMs = type.ready_s * 1000;
    const hosts = Array.from({ length: free }, () => this.add(flavour, hall, spare, bootMs));
    this.rentals.set(rental, hosts);
    return answer(200, { hosts });
  }

  /**
   * @param {URLSearchParams} query
   * @param {(status: number, body: unknown) => void} answer
   */
  list(query, answer) {
    const after = query.get('after') ?? '';
    const most = Number(query.get('most') ?? 500);
    const now = performance.now();
    const listed = [...this.hosts.values()].filter(({ ref }) => ref > after);
    const hosts = listed.slice(0, most).map((host) => ({
      ref: host.ref,
      addr: '127.0.0.1:1',
      flavour: host.flavour,
      hall: host.hall,
      spare: host.spare,
      status: host.readyAt <= now ? 'running' : 'booting',
      age_s: (now - host.rentedAt) / 1000,
    }));
    return answer(200, { hosts, has_next: listed.length > most });
  }
}
