/** `npm run slopes [-- quarantine]`: the slopes behind docs/CAPACITY.md, all of them or those of one part. */
import { measureQuarantineSlopes } from './lib/measure/measureQuarantineSlopes.js'
import { measureSlopes } from './lib/measure/measureSlopes.js'

const print = (line: string): void => { process.stdout.write(`${line}\n`) }

if (process.argv.includes('quarantine')) measureQuarantineSlopes(print)
else await measureSlopes(print)
