/* eslint-disable @typescript-eslint/no-unsafe-member-access -- decoded bodies have no types in plain JavaScript */
/** A burst of small tasks fills a machine until its report is too long to be taken. */
import { fileURLToPath } from 'node:url';
import { CaseError, runCase, sleep } from '../lib-2/site.mjs';
import { User, job } from '../lib-2/users.mjs';

const BATCH = 400;
const BURST_FACTOR = 4;
const RUN_MS = 40_000;
const WATCHED_MS = 100_000;
const POLL_EVERY_MS = 5000;
const zones = ['oostende', 'brugge'];

const refOf = (/** @type {number} */ number) => `run-${String(number).padStart(6, '0')}`;
const other = refOf(700_000);

const options = {
  folder: fileURLToPath(new URL('.', import.meta.url)),
  zones,
  nodeZones: ['oostende', 'brugge', 'oostende'],
  teams: [{ name: 'mariene-data', cpus: 0.5, cpus_max: 400.5 }],
  workers: { report_s: 3, lease_s: 26, cancel_s: 56 },
  state: { rps: 100, write_rps: 40, value_kb: 16, txn_ops: 12 },
  lagS: 5,
  types: [
    {
      label: 'zwaar',
      cpus: 64,
      accelerators: 0,
      mem_gb: 256,
      cache_gb: 50,
      pull_gb_per_s: 0.1,
      price: 2.69,
      low_price: 0.83,
      ready_s: 25,
      halls: zones,
    },
  ],
  capacity: 1,
  runMsOf: (/** @type {string} */ piece) => (piece.startsWith(other) ? 60_000 : RUN_MS),
};

const common = { owner: 'mariene-data', jobclass: 'qcpass', spare: false, hall: 'brugge' };
const small = { ...common, batch: BATCH, cpus: 0.04, mem_gb: 0.1, expected_s: 40 };

await runCase(options, 116, async (site, isTroubled) => {
  site.cloud.add('zwaar', 'brugge', false, 0);
  await site.ready();
  let leaseEnds = 0;
  site.onWorkerEvent = ({ event }) => {
    if (event === 'lease ended') leaseEnds++;
  };
  const refs = Array.from({ length: isTroubled ? BURST_FACTOR : 1 }, (_, i) => refOf(i + 1));
  const users = [];
  const descriptions = [job(other, { ...common, expected_s: 60 })];
  for (const ref of refs) descriptions.push(job(ref, small));
  for (const [index, description] of descriptions.entries()) {
    const user = new User(site, index);
    const answer = await user.submit(description);
    if (answer?.status !== 201) throw new CaseError(`${description.ref} was not accepted`);
    users.push({ user, ref: description.ref });
  }
  const startedAt = performance.now();
  let open = users;
  while (open.length > 0 && performance.now() - startedAt < WATCHED_MS) {
    await sleep(POLL_EVERY_MS);
    const answers = await Promise.all(open.map(({ user, ref }) => user.poll(ref)));
    open = open.filter((_, index) => answers[index]?.body?.status !== 'done');
  }
  site.record(`leases that ended: ${leaseEnds}`);
  if (open.length === 0) return null;
  const names = open.map(({ ref }) => ref).join(', ');
  return `not done after 100 s: ${names}; the machine's lease ended ${leaseEnds} times`;
});
