#!/usr/bin/env node
import { runDaemon } from '@eelgrassmux/daemon/runDaemon'
import { directoryProgram } from './lib/DirectoryDaemon.js'

await runDaemon(directoryProgram, process.argv.slice(2))
