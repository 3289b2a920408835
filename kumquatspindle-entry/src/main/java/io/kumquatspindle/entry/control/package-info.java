/** Communication with control: the state received from it and the requests sent to it. */
package io.kumquatspindle.entry.control;
