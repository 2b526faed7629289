/* eslint-disable @typescript-eslint/no-unsafe-member-access -- decoded bodies have no types in plain JavaScript */
/** After the controllers crash, no question about a job that waited for many is answered for 90 s. */
import { fileURLToPath } from 'node:url';
import { CaseError, runCase, sleep, waitFor } from '../lib-2/site.mjs';
import { User, job } from '../lib-2/users.mjs';

const EARLIER = 730;
const SUBMITTERS = 24;
const OTHERS = 20;
const RULE_MS = 90_000;
const POLL_EVERY_MS = 5010;
const RESTART_MS = 6000;
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
const earlier = Array.from({ length: EARLIER }, (_, index) => refOf(index + 1));
const others = Array.from({ length: OTHERS }, (_, index) => refOf(800_001 + index));
const closing = refOf(900_000);
const common = { owner: 'mariene-data', jobclass: 'telemetry', urgency: 'idle' };
const long = { owner: 'mariene-data', jobclass: 'archive', expected_s: 200 };

const options = {
  folder: fileURLToPath(new URL('.', import.meta.url)),
  zones,
  nodeZones: ['oostende', 'brugge', 'oostende'],
  teams: [{ name: 'mariene-data', cpus: 0.5, cpus_max: 400.5 }],
  workers: { report_s: 3, lease_s: 26, cancel_s: 56 },
  state: { rps: 500, write_rps: 150, value_kb: 16, txn_ops: 12 },
  lagS: 5,
  types: [type('gewoon', 8, 32, 0.3), type('zwaar', 64, 256, 2.69)],
  capacity: 8,
  runMsOf: (/** @type {string} */ piece) => (earlier.includes(piece.split('/')[0]) ? 500 : 200_000),
};

/**
 * Asks about a job every 5 s until it is done; `onAnswer` gets each answer.
 * @param {User} user
 * @param {string} ref
 * @param {(status: number | undefined) => void} onAnswer
 */
async function follow(user, ref, onAnswer) {
  for (;;) {
    await sleep(POLL_EVERY_MS);
    const answer = await user.poll(ref, true);
    onAnswer(answer?.status);
    if (answer?.body?.status === 'done') return;
  }
}

/** Submits jobs over all controllers; each has a user who asks for it until it is done. */
async function submitAll(
  /** @type {import('../lib-2/site.mjs').Site} */ site,
  /** @type {string[]} */ refs,
  /** @type {Record<string, unknown>} */ fields,
  /** @type {(status: number | undefined) => void} */ onAnswer,
  /** @type {() => void} */ onDone = () => undefined,
) {
  const left = [...refs];
  const submitSome = async (/** @type {number} */ number) => {
    for (let ref = left.shift(); ref !== undefined; ref = left.shift()) {
      const user = new User(site, number);
      const answer = await user.submit(job(ref, fields), true);
      if (answer?.status !== 201 && answer?.status !== 200) throw new CaseError(`${ref} refused`);
      void follow(user, ref, onAnswer).then(onDone);
    }
  };
  await Promise.all(Array.from({ length: SUBMITTERS }, (_, number) => submitSome(number)));
}

/** All controllers crash once and come back. @param {import('../lib-2/site.mjs').Site} site */
function crashAll(site) {
  site.record('all controllers crash');
  for (const controller of site.controllers) site.kill(controller);
  setTimeout(() => {
    for (const controller of site.controllers) site.startController(controller);
  }, RESTART_MS);
}

/**
 * Asks about the closing job every 5 s: null once it is answered with 200, and what was broken if
 * it is not within 90 s.
 * @param {import('../lib-2/site.mjs').Site} site
 * @param {User} user
 * @param {{ asked: number, answered: number }} counts questions about other unfinished jobs
 */
async function askFor90s(site, user, counts) {
  const firstAt = performance.now();
  for (let asked = 0; ; asked++) {
    await sleep(Math.max(0, firstAt + asked * POLL_EVERY_MS - performance.now()));
    const sentAt = performance.now();
    const answer = await user.poll(closing);
    site.record('questions about other unfinished jobs', counts);
    if (answer?.status === 404) return `${closing} is accepted and answered with 404`;
    if (answer?.status === 200) return null;
    if (sentAt - firstAt < RULE_MS) continue;
    if (counts.answered * 2 <= counts.asked) throw new CaseError('most others are not answered');
    const seconds = Math.round((sentAt - firstAt) / 1000);
    return (
      `${asked + 1} of ${asked + 1} questions about ${closing} failed in ${seconds} s, while ` +
      `${counts.answered} of ${counts.asked} about other unfinished jobs were answered`
    );
  }
}

await runCase(options, 116, async (site, isTroubled) => {
  for (const zone of zones) {
    for (let i = 0; i < 6; i++) site.cloud.add('gewoon', zone, false, 0);
    site.cloud.add('zwaar', zone, false, 0);
  }
  await site.ready();
  const counts = { asked: 0, answered: 0 };
  const count = (/** @type {number | undefined} */ status) => {
    counts.asked++;
    if (status === 200) counts.answered++;
  };
  await submitAll(site, others, { ...long, urgency: 'prod' }, count);
  let overCount = 0;
  const ignore = () => undefined;
  await submitAll(site, earlier, common, ignore, () => overCount++);
  site.record(`${EARLIER} earlier jobs are accepted`);
  const user = new User(site, 0);
  const accepted = await user.submit(
    job(closing, { ...long, urgency: 'urgent', waits_on: earlier }),
  );
  if (accepted?.status !== 201) throw new CaseError(`${closing} was not accepted`);
  await waitFor('nearly all users of earlier jobs know', () => overCount >= EARLIER - 30, 40_000);
  Object.assign(counts, { asked: 0, answered: 0 });
  if (isTroubled) crashAll(site);
  return await askFor90s(site, user, counts);
});
