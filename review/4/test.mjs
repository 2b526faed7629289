/* eslint-disable @typescript-eslint/no-unsafe-member-access, @typescript-eslint/no-unsafe-argument, @typescript-eslint/no-unsafe-call --
   decoded bodies have no types in plain JavaScript */
/** After an outage of the state service the ends of jobs no longer fit into one transaction. */
import { fileURLToPath } from 'node:url';
import { CaseError, runCase, sleep, waitFor } from '../lib-2/site.mjs';
import { User, job } from '../lib-2/users.mjs';

const EARLIER = 860;
const SUBMITTERS = 24;
const CLOSING = 6;
const OUTAGE_MS = 13_000;
const WATCHED_MS = 20_000;
const POLL_EVERY_MS = 5000;
const zones = ['oostende', 'brugge'];

const type = (
  /** @type {string} */ label,
  /** @type {number} */ cpus,
  /** @type {number} */ mem_gb,
  /** @type {number} */ price,
) => ({
  label,
  cpus,
  accelerators: 0,
  mem_gb,
  cache_gb: 50,
  pull_gb_per_s: 0.12,
  price,
  low_price: price / 3,
  ready_s: 30,
  halls: zones,
});

const refOf = (/** @type {number} */ number) => `run-${String(number).padStart(6, '0')}`;
const closingRefs = Array.from({ length: CLOSING }, (_, index) => refOf(900_000 + index));

/** The closing jobs end one after the other, 1.5 s apart; the earlier ones take a second each. */
function runMsOf(/** @type {string} */ piece) {
  const index = closingRefs.indexOf(piece.split('/')[0]);
  return index < 0 ? 1000 : 7000 + 1500 * index;
}

const options = {
  folder: fileURLToPath(new URL('.', import.meta.url)),
  zones,
  nodeZones: ['oostende', 'brugge', 'oostende'],
  teams: [{ name: 'mariene-data', cpus: 0.5, cpus_max: 400.5 }],
  workers: { report_s: 3, lease_s: 26, cancel_s: 56 },
  state: { rps: 250, write_rps: 60, value_kb: 16, txn_ops: 12 },
  lagS: 5,
  types: [type('gewoon', 8, 32, 0.3), type('zwaar', 64, 256, 2.69)],
  capacity: 10,
  runMsOf,
};

const common = { owner: 'mariene-data', jobclass: 'telemetry', urgency: 'idle' };
const earlier = Array.from({ length: EARLIER }, (_, index) => refOf(index + 1));
const later = refOf(950_000);

/** Submits the earlier jobs, by several users at a time. @param {import('../lib-2/site.mjs').Site} site */
async function submitEarlier(site) {
  const left = [...earlier];
  const submitSome = async (/** @type {number} */ number) => {
    const user = new User(site, number);
    for (let ref = left.shift(); ref !== undefined; ref = left.shift()) {
      const answer = await user.submit(job(ref, common), true);
      if (answer?.status !== 201 && answer?.status !== 200) throw new CaseError(`${ref} refused`);
    }
  };
  await Promise.all(Array.from({ length: SUBMITTERS }, (_, number) => submitSome(number)));
  site.record(`${EARLIER} earlier jobs are accepted`);
}

/** Submits the jobs that wait for all earlier ones; returns their users. @param {import('../lib-2/site.mjs').Site} site */
async function submitClosing(site) {
  const users = [];
  for (const ref of closingRefs) {
    const place = { hall: 'brugge', flavours: ['zwaar'], waits_on: earlier };
    const description = job(ref, { ...common, ...place, jobclass: 'bulletin', urgency: 'urgent' });
    const user = new User(site, 0);
    const answer = await user.submit(description, true);
    site.record(`${ref}, ${JSON.stringify(description).length} bytes`, answer);
    if (answer?.status !== 201) throw new CaseError(`${ref} was not accepted`);
    users.push(user);
  }
  return users;
}

/**
 * Polls jobs until all are done or the time is up; returns the ids of those not done.
 * @param {{ ref: string, user: User }[]} polled
 */
async function openAfterPolls(polled) {
  const startedAt = performance.now();
  let open = polled;
  while (open.length > 0 && performance.now() - startedAt < WATCHED_MS) {
    await sleep(POLL_EVERY_MS);
    const answers = await Promise.all(polled.map(({ ref, user }) => user.poll(ref)));
    open = polled.filter((_, index) => answers[index]?.body?.status !== 'done');
  }
  return open.map(({ ref }) => ref);
}

await runCase(options, 116, async (site, isTroubled) => {
  for (const zone of zones) {
    for (let i = 0; i < 6; i++) site.cloud.add('gewoon', zone, false, 0);
    site.cloud.add('zwaar', zone, false, 0);
  }
  await site.ready();
  const running = new Set();
  const ended = new Set();
  site.onWorkerEvent = ({ event, piece }) => {
    if (event === 'runs') running.add(piece.split('/')[0]);
    if (event === 'ended') ended.add(piece.split('/')[0]);
  };
  await submitEarlier(site);
  const users = await submitClosing(site);
  const allIn = (/** @type {Set<string>} */ refs) => closingRefs.every((ref) => refs.has(ref));
  await waitFor('all closing jobs run', () => allIn(running), 90_000);
  site.record('all closing jobs run');
  await sleep(2500);
  if (isTroubled) site.state.beginOutage();
  site.record(`the state service is ${isTroubled ? 'down' : 'up'}`);
  await sleep(OUTAGE_MS);
  if (isTroubled) site.state.endOutage();
  site.record('the state service is up');
  await waitFor('all closing tasks ended', () => allIn(ended), 15_000);
  const laterUser = new User(site, 1);
  const submitted = await laterUser.submit(job(later, common));
  if (submitted?.status !== 201) throw new CaseError(`${later} was not accepted`);
  await waitFor(`the task of ${later} ended`, () => ended.has(later), 15_000);
  const closing = closingRefs.map((ref, index) => ({ ref, user: users[index] }));
  const open = await openAfterPolls([...closing, { ref: later, user: laterUser }]);
  site.record(`transactions that the state service refused as too large: ${site.state.tooLarge}`);
  if (open.length === 0) return null;
  return `${open.join(', ')}: not done ${WATCHED_MS / 1000} s after the last task of each completed`;
});
