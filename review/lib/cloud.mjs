/* eslint-disable -- plain JavaScript without types */
/** Stand-in for the cloud: it lists the machines given to it and rents no others. */
import { serve } from './http.mjs';

export class Cloud {
  /** `catalog`: flavours as in PROTOCOL. `machines`: `{ ref, addr, flavour, hall, spare }`. */
  constructor(catalog, machines = []) {
    this.catalog = catalog;
    this.machines = new Map(machines.map((machine) => [machine.ref, machine]));
    this.onReturned = () => undefined;
  }

  async start() {
    this.startedAt = performance.now();
    this.server = await serve((...request) => this.#handle(...request));
    this.port = this.server.port;
  }

  close() {
    this.server?.close();
  }

  #handle(method, url, body, reply) {
    const { pathname, searchParams: query } = new URL(url, 'http://cloud');
    if (pathname === '/catalog') return reply(200, { flavours: this.catalog });
    if (pathname === '/machines/return') {
      for (const id of body.hosts) {
        if (this.machines.delete(id)) this.onReturned(id);
      }
      return reply(200, {});
    }
    if (method === 'POST') return reply(503, { error: 'no capacity' });
    const after = query.get('after') ?? '';
    const most = Number(query.get('most') ?? 500);
    const listed = [...this.machines.values()].filter(({ ref }) => ref > after);
    listed.sort((a, b) => (a.ref < b.ref ? -1 : 1));
    const age = (performance.now() - this.startedAt) / 1000 + 600;
    const hosts = listed.slice(0, most).map((m) => ({ ...m, status: 'running', age_s: age }));
    reply(200, { hosts, has_next: listed.length > most });
  }
}
