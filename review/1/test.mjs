/* eslint-disable -- plain JavaScript without types */
/**
 * A user sends each controller one submission that is not MessagePack: a text in another encoding,
 * 4 KiB long. It has to be answered with 400, and the controller has to go on.
 */
import { HOST, call, sleep } from '../lib/http.mjs';
import { KELISA, Site, runCase } from '../lib/site.mjs';

const isTrouble = process.env.TROUBLE !== '0';
/** The limit for request bodies is 64 KiB; these are far below it. */
const BODY_BYTES = 4096;
/** The text "ÜÜÜ…" in Latin-1, byte 0xDC; without the disruption a line of plain ASCII text. */
const TEXT = isTrouble ? 'Ü' : 'U';

const site = new Site({ ...KELISA });
await runCase(import.meta.dirname, site, async () => {
  const broken = [];
  const accepted = site.describe('run-000001', { batch: 2 });
  const answer = await site.submit(site.nodes[0], accepted);
  if (answer.status !== 201) throw new Error(`not accepted: ${answer.status}`);
  for (const node of site.nodes) {
    const { port, member } = node;
    const raw = Buffer.from(TEXT.repeat(BODY_BYTES), 'latin1');
    const { status, error } = await call({ port, method: 'POST', path: '/api/jobs', raw });
    site.note({ ask: 'submit', host: HOST, member, body: `${raw.length} bytes`, status, error });
    if (status !== 400) broken.push(`${member}: ${status || error} instead of 400`);
    await sleep(2000);
    const poll = await site.poll(node, 'run-000001');
    if (poll.status !== 200) broken.push(`${member}: poll of an accepted job: ${poll.error}`);
  }
  for (const { member, code, signal } of site.unexpectedEnds)
    broken.push(`${member} ended by itself: ${signal ?? code}`);
  return broken;
});
