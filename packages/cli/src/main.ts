import { runCli } from './cli.js';

void runCli(process.argv);
