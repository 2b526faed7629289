/** A valid job gets the final answer 422 from a controller that knows some machine types only. */
import { fileURLToPath } from 'node:url';
import { CaseError, runCase, sleep } from '../lib-2/site.mjs';
import { User, job } from '../lib-2/users.mjs';

const SERVED_MS = 36_000;
const RESTART_MS = 6000;
const OUTAGE_MS = 25_000;
const halls = ['cyberjaya-a', 'cyberjaya-b', 'bangi', 'penang'];

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
  pull_gb_per_s: 0.4,
  price,
  low_price: price / 3,
  ready_s: 25,
  halls,
});

const options = {
  folder: fileURLToPath(new URL('.', import.meta.url)),
  zones: halls,
  nodeZones: halls.slice(0, 3),
  teams: [
    { name: 'fundops', cpus: 56.5, cpus_max: 192.5 },
    { name: 'clientdesk', cpus: 96.5, cpus_max: 272.5 },
  ],
  workers: { report_s: 5, lease_s: 27, cancel_s: 47 },
  state: {
    rps: 250,
    write_rps: 20,
    value_kb: 4,
    txn_ops: 8,
    next: { write_rps: 15, value_kb: 2, txn_ops: 4 },
  },
  lagS: 3,
  types: [
    type('kecil', 4, 16, 0.17),
    type('sederhana', 8, 64, 0.46),
    type('besar', 16, 128, 0.92),
    type('raksasa', 32, 256, 1.84),
    type('utama', 64, 512, 3.68),
  ],
  capacity: 2,
  runMsOf: () => 5000,
};

/** Only `utama` can hold a task of it. */
const large = (/** @type {string} */ ref) =>
  job(ref, { cpus: 40, mem_gb: 300, jobclass: 'yearend', spare: false });

/** @param {import('../lib-2/site.mjs').Site} site */
async function crashInOutage(site) {
  site.record('the cloud is down, all controllers crash');
  site.cloud.isDown = true;
  setTimeout(() => {
    site.record('the cloud is up');
    site.cloud.isDown = false;
  }, OUTAGE_MS);
  for (const controller of site.controllers) site.kill(controller);
  await sleep(RESTART_MS);
  for (const controller of site.controllers) site.startController(controller);
  await site.ready();
}

await runCase(options, 110, async (site, isTroubled) => {
  await site.ready();
  const first = await new User(site, 0).submit(large('run-000001'));
  if (first?.status !== 201) throw new CaseError('the job is not accepted before the trouble');
  await sleep(SERVED_MS);
  if (isTroubled) await crashInOutage(site);
  const broken = [];
  for (const [node, { member }] of site.controllers.entries()) {
    const answer = await new User(site, node).submit(large(`run-00001${node}`));
    // Other answers are retried; the cloud is up again long before the user gives up.
    if (answer?.status === 422) broken.push(`${member} answered 422 to a job that fits utama`);
    else if (answer?.status !== 201) throw new CaseError(`${member} answered ${answer?.status}`);
  }
  return broken.length > 0 ? broken.join('; ') : null;
});
