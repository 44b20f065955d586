#ifndef PD_VERSION_H
#define PD_VERSION_H

#define PD_VERSION "0.1.0"

#endif
