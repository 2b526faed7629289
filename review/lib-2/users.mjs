/* eslint-disable @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-member-access, @typescript-eslint/no-unsafe-argument --
   decoded bodies have no types in plain JavaScript */
/** Users as the pages describe them: submissions, polls and cancellations, with their retries. */
import { Client } from './wire.mjs';
import { sleep } from './site.mjs';

const SUBMIT_MS = 5000;
const POLL_MS = 2000;
const RETRY_MS = 1000;
const GIVE_UP_MS = 60_000;
const FINAL = [200, 201, 400, 404, 422];

/** A whole job description; the fields given replace the common ones. */
export function job(/** @type {string} */ ref, /** @type {Record<string, unknown>} */ fields) {
  return {
    ref,
    jobclass: 'navcalc',
    owner: 'fundops',
    shape: 'array',
    urgency: 'normal',
    batch: 1,
    cpus: 1,
    accelerators: 0,
    mem_gb: 2.4,
    bundle: 'img-01',
    image_gb: 0.1,
    flavours: null,
    hall: null,
    same_place: false,
    apart: false,
    spare: true,
    expected_s: 5,
    snapshot_s: 0,
    flush_s: 0,
    due_s: null,
    ...fields,
  };
}

/** One user with one connection, which goes to the next controller when it fails. */
export class User {
  client = new Client();

  /**
   * @param {import('./site.mjs').Site} site
   * @param {number} node
   */
  constructor(site, node) {
    this.site = site;
    this.node = node;
  }

  /**
   * @param {string} method
   * @param {string} path
   * @param {unknown} body
   * @param {number} timeoutMs
   * @param {boolean} [isQuiet]
   */
  async call(method, path, body, timeoutMs, isQuiet = false) {
    const { controllers } = this.site;
    const { member, public: address } = controllers[this.node % controllers.length];
    const answer = await this.client.call(address, method, path, body, timeoutMs);
    if (!isQuiet || answer === null || answer.status >= 300) {
      const shown = answer === null ? 'no answer' : { status: answer.status, body: answer.body };
      this.site.record(`user: ${method} ${path} at ${member}`, shown);
    }
    if (answer === null) {
      this.client.close();
      this.node++;
    }
    return answer;
  }

  /**
   * Repeats a request as users do; null if 60 s bring no final answer.
   * @param {string} path
   * @param {unknown} body
   * @param {boolean} [isQuiet]
   */
  async insist(path, body, isQuiet = false) {
    const startedAt = performance.now();
    while (performance.now() - startedAt < GIVE_UP_MS) {
      const answer = await this.call('POST', path, body, SUBMIT_MS, isQuiet);
      if (answer && FINAL.includes(answer.status)) return answer;
      await sleep(RETRY_MS);
    }
    return null;
  }

  /** @param {any} description @param {boolean} [isQuiet] */
  submit(description, isQuiet = false) {
    this.site.jobs.set(description.ref, description);
    return this.insist('/api/jobs', description, isQuiet);
  }

  /** @param {string} ref */
  cancel(ref) {
    return this.insist(`/api/jobs/${ref}/cancel`, null);
  }

  /** @param {string} ref @param {boolean} [isQuiet] */
  poll(ref, isQuiet = false) {
    return this.call('GET', `/api/jobs/${ref}`, null, POLL_MS, isQuiet);
  }
}
